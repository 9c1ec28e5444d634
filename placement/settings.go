package placement

import "time"

// Settings are the weights of a choice. All are times that an upstream's property adds
// to the expected wait for the answer.
type Settings struct {
	// PerPromptToken is the time to read one prompt token: engines read about 60 a
	// millisecond.
	PerPromptToken time.Duration
	// PendingPromptFactor times the prompt tokens that this node has waiting at an engine are
	// taken to wait there in all: the other nodes send to it too.
	PendingPromptFactor float64
	// PerUncachedSharedToken is what a shared prompt token costs that is read on a second engine:
	// ten times its reading. It also takes the memory of other prompts there, and the next
	// requests of the subject are split between two engines. At four times, a single failed
	// request moved a prompt of 5,400 shared tokens; a fifth fewer are read again now.
	PerUncachedSharedToken time.Duration
	// FleetAffinityTokens is from how many shared tokens on a prompt has one home in the whole
	// fleet and not one in each data centre. Below it, reading the part once more costs
	// less than carrying each request to another data centre.
	FleetAffinityTokens int
	// PerRunningRequest is what each running request adds by slowing the batch.
	PerRunningRequest time.Duration
	// PerWaitingRequest is what each waiting request adds.
	PerWaitingRequest time.Duration
	// OtherDataCentre and OtherRegion are the round trips, raised by what traffic
	// between places costs against a request's worth.
	OtherDataCentre, OtherRegion time.Duration
	// FailurePenalty is what a certain failure costs: the request's objective and more.
	FailurePenalty time.Duration
	// SuspectPenalty sets an upstream back behind all others.
	SuspectPenalty time.Duration
	// CacheTTL is how long a part is believed to stay in an engine's memory after this
	// node's last request with it there.
	CacheTTL time.Duration
}

// DefaultSettings returns the weights described at each field.
func DefaultSettings() Settings {
	return Settings{
		PerPromptToken:         16 * time.Microsecond,
		PendingPromptFactor:    2,
		PerUncachedSharedToken: 160 * time.Microsecond,
		FleetAffinityTokens:    400,
		PerRunningRequest:      2 * time.Millisecond,
		PerWaitingRequest:      40 * time.Millisecond,
		OtherDataCentre:        15 * time.Millisecond,
		OtherRegion:            120 * time.Millisecond,
		FailurePenalty:         1500 * time.Millisecond,
		SuspectPenalty:         10 * time.Second,
		CacheTTL:               20 * time.Second,
	}
}
