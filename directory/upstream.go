package directory

import "time"

// State is what an upstream says of itself.
type State int

const (
	// Ready upstreams take work.
	Ready State = iota + 1
	// Draining upstreams finish what they have and leave.
	Draining
)

// Entry is what an upstream wrote about itself.
type Entry struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	State      State
	// Warmup is how much longer the upstream stays slow after its start.
	Warmup time.Duration
	// StartedAt is when this incarnation started, in Unix milliseconds, zero if unsaid; an
	// upstream may start again under the same ID and then holds nothing of before.
	StartedAt int64
	// Sequence counts the entries of one incarnation.
	Sequence int64
}

// follows tells whether e is a newer statement than old. Late deliveries of an earlier
// incarnation's entries must not bring it back.
func (e Entry) follows(old Entry) bool {
	if e.StartedAt != old.StartedAt && e.StartedAt != 0 && old.StartedAt != 0 {
		return e.StartedAt > old.StartedAt
	}
	return e.Sequence >= old.Sequence
}

// Upstream is one incarnation of an upstream with what this node learned of it.
type Upstream struct {
	Entry
	*Stats
	// StaleUntil, by the boot clock, is set for an upstream whose entry vanished
	// while the store was away: it may still serve, and only as the last resort.
	StaleUntil time.Duration
}
