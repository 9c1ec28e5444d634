package directory

import "time"

// State is the state that an upstream reports in its entry.
type State int

const (
	// Ready upstreams accept requests.
	Ready State = iota + 1
	// Draining upstreams finish their open requests and leave.
	Draining
)

// Entry is an upstream's registration, written by the upstream itself.
type Entry struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the upstream's software.
	Version string
	Slots   int
	State   State
	// Warmup is how much longer the upstream stays slow after its start.
	Warmup time.Duration
	// StartedAt is when this incarnation started, in Unix milliseconds; zero if not given. An
	// upstream may restart under the same ID and then holds nothing from before.
	StartedAt int64
	// Sequence counts the entries of one incarnation.
	Sequence int64
}

// supersedes reports whether e is newer than old. Late deliveries of an earlier incarnation's
// entries must not bring it back.
func (e Entry) supersedes(old Entry) bool {
	if e.StartedAt != old.StartedAt && e.StartedAt != 0 && old.StartedAt != 0 {
		return !e.precedes(old)
	}
	return e.Sequence >= old.Sequence
}

// precedes reports whether e is of an earlier incarnation than old.
func (e Entry) precedes(old Entry) bool { return e.StartedAt != 0 && e.StartedAt < old.StartedAt }

// isRestart reports whether e is another incarnation than old. Without a start time, a change of
// the address or service tells.
func (e Entry) isRestart(old Entry) bool { return e.StartedAt != old.StartedAt || e.StartedAt == 0 }

// Upstream is one incarnation of an upstream with this node's statistics about it.
type Upstream struct {
	Entry
	*Stats
	// StaleUntil, by the boot clock, is set for an upstream whose entry vanished during a store
	// outage: it may still serve, but is used only as a last resort.
	StaleUntil time.Duration
	// ReadAt, by the boot clock, is when the entry was read.
	ReadAt time.Duration
}

// Accepts reports whether the upstream wants new requests: its time isn't over if its entry vanished, and it neither leaves nor
// asked for a pause. Stale upstreams are removed with the next reading of the store, which may be seconds later.
func (u *Upstream) Accepts(now time.Duration) bool {
	return (u.StaleUntil == 0 || now < u.StaleUntil) && u.Stats.Accepts(now)
}
