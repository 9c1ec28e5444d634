package placement

import "time"

// Settings are the weights of the score. The durations are what a property of an upstream adds
// to the expected time to answer.
type Settings struct {
	// PerPromptToken is the time to prefill one prompt token: engines prefill about 60 per
	// millisecond.
	PerPromptToken time.Duration
	// PendingPromptFactor estimates the total of pending prompt tokens at an engine from those
	// that this node sent: other nodes send to it too.
	PendingPromptFactor float64
	// PerUncachedSharedToken is the cost of prefilling a shared prompt token on a second engine:
	// ten times the prefill time. It also evicts other prompts from that engine's cache, and
	// the next requests with this prompt are split between two engines. At four times, a
	// single failed request moved a prompt of 5,400 shared tokens; at ten times, a fifth fewer
	// tokens are prefilled again.
	PerUncachedSharedToken time.Duration
	// FleetAffinityTokens is the number of shared tokens from which a prompt has one affinity
	// upstream in the whole fleet instead of one in each data centre. Below it, prefilling the
	// shared part once more costs less than sending each request to another data centre.
	FleetAffinityTokens int
	// PerRunningRequest is the delay from each running request, which slows the batch.
	PerRunningRequest time.Duration
	// PerWaitingRequest is the delay from each queued request.
	PerWaitingRequest time.Duration
	// OtherDataCentre and OtherRegion are the round-trip times, increased by the cost of the
	// traffic relative to the value of a request.
	OtherDataCentre, OtherRegion time.Duration
	// Relay is the same for the way through another node, most likely in another data centre.
	Relay time.Duration
	// FailurePenalty is the cost of a failure with probability 1. It exceeds the request's
	// objective.
	FailurePenalty time.Duration
	// SuspectPenalty ranks an upstream after all others if its directory entry vanished during
	// an outage of the store.
	SuspectPenalty time.Duration
	// PerExcess is the delay that an upstream which reports slow-downs gets for having twice the mean work. A fifth more than
	// the mean costs about as much as another region.
	PerExcess time.Duration
	// Spread is the longest random delay in the score of such an upstream: nodes that see the same reports would otherwise
	// all send to the same upstream.
	Spread time.Duration
	// CacheTTL is how long a prompt part is assumed to stay cached on an engine after this
	// node last sent it there.
	CacheTTL time.Duration
}

// DefaultSettings returns the default weights.
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
		Relay:                  15 * time.Millisecond,
		FailurePenalty:         1500 * time.Millisecond,
		SuspectPenalty:         10 * time.Second,
		PerExcess:              900 * time.Millisecond,
		Spread:                 10 * time.Millisecond,
		CacheTTL:               20 * time.Second,
	}
}
