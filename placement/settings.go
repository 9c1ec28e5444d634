package placement

import "time"

// Settings are the weights of a choice. All are times that an upstream's property adds
// to the expected wait for the answer.
type Settings struct {
	// PerPromptToken is the time to read one prompt token: engines read about 60 a
	// millisecond.
	PerPromptToken time.Duration
	// UnseenPrompts times the prompt tokens that this node has waiting at an engine are
	// taken to wait there in all: the other nodes send to it too.
	UnseenPrompts float64
	// PerSharedToken is what a shared prompt token costs that is read on a second engine:
	// ten times its reading. It also takes the memory of other prompts there, and the next
	// requests of the subject are split between two engines. At four times, a single failed
	// request moved a prompt of 5,400 shared tokens; a fifth fewer are read again now.
	PerSharedToken time.Duration
	// FleetHome is from how many shared tokens on a prompt has one home in the whole
	// fleet and not one in each data centre. Below it, reading the part once more costs
	// less than carrying each request to another data centre.
	FleetHome int
	// PerRunning is what each running request adds by slowing the batch.
	PerRunning time.Duration
	// PerWaiting is what each waiting request adds.
	PerWaiting time.Duration
	// OtherDataCentre and OtherRegion are the round trips, raised by what traffic
	// between places costs against a request's worth.
	OtherDataCentre, OtherRegion time.Duration
	// Failure is what a certain failure costs: the request's objective and more.
	Failure time.Duration
	// Doubted sets an upstream back behind all others.
	Doubted time.Duration
	// CacheFor is how long a part is believed to stay in an engine's memory after this
	// node's last request with it there.
	CacheFor time.Duration
}

// DefaultSettings returns the weights described at each field.
func DefaultSettings() Settings {
	return Settings{
		PerPromptToken:  16 * time.Microsecond,
		UnseenPrompts:   2,
		PerSharedToken:  160 * time.Microsecond,
		FleetHome:       400,
		PerRunning:      2 * time.Millisecond,
		PerWaiting:      40 * time.Millisecond,
		OtherDataCentre: 15 * time.Millisecond,
		OtherRegion:     120 * time.Millisecond,
		Failure:         1500 * time.Millisecond,
		Doubted:         10 * time.Second,
		CacheFor:        20 * time.Second,
	}
}
