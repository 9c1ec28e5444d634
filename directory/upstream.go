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
	// upstream may restart under the same ID and then holds nothing from before. It tells incarnations
	// apart and doesn't order them: the time of day may have jumped back between two starts.
	StartedAt int64
	// Sequence counts the entries of one incarnation.
	Sequence int64
	// Offset is the position of the entry's record in the log.
	Offset int64
}

// isBehind reports whether e, of the same incarnation as old, was written before old. Once the entry was removed, one that
// stands behind the removal and repeats old's number is a late repetition as well: a living upstream goes on counting.
func (e Entry) isBehind(old Entry, removed bool) bool {
	return e.Sequence < old.Sequence || removed && e.Sequence == old.Sequence && e.Offset > old.Offset
}

// isOther reports whether both entries give a start time, and not the same one.
func (e Entry) isOther(old Entry) bool {
	return e.StartedAt != old.StartedAt && e.StartedAt != 0 && old.StartedAt != 0
}

// continues reports whether e is a later entry of the incarnation that wrote old.
func (e Entry) continues(old Entry) bool {
	return e.ID == old.ID && e.StartedAt == old.StartedAt && e.Sequence > old.Sequence
}

// isRestart reports whether e is another incarnation than old. Without a start time, a change of
// the address or service tells.
func (e Entry) isRestart(old Entry) bool { return e.StartedAt != old.StartedAt || e.StartedAt == 0 }

// Upstream is one incarnation of an upstream with this node's statistics about it.
type Upstream struct {
	Entry
	*Stats
	// incarnations is kept from one incarnation to the next and guarded by the table's lock.
	incarnations *incarnations
	// StaleUntil, by the boot clock, is set for an upstream whose entry vanished during a store
	// outage: it may still serve, but is used only as a last resort.
	StaleUntil time.Duration
}

// Accepts reports whether the upstream wants new requests: its time isn't over if its entry vanished, and it neither leaves nor
// asked for a pause. Stale upstreams are removed with the next reading of the store, which may be seconds later.
func (u *Upstream) Accepts(now time.Duration) bool {
	return (u.StaleUntil == 0 || now < u.StaleUntil) && u.Stats.Accepts(now)
}
