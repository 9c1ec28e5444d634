package presence

import (
	"slices"
	"strings"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// LiveTimeout is how long a node may be silent while the store can be read before
	// callers aren't sent to it any more: five records of one that writes at the least
	// interval; one that writes more rarely may leave two more out.
	LiveTimeout = 2600 * time.Millisecond
	// ActiveTimeout is how long it may be silent before another node takes its duties up:
	// three records, and one more of a node that writes more rarely. Doing so too early
	// costs a few calls and nothing else, since every write of a duty is fenced.
	ActiveTimeout = 1600 * time.Millisecond
)

// Roster is the nodes as last heard of. It is safe for concurrent use.
type Roster struct {
	clock bootclock.Clock

	mu    sync.Mutex
	nodes map[string]*member
	// readable is how long the store could be read in all; silence counts in it.
	readable time.Duration
	caughtAt time.Duration
	caught   bool
	// live and active are what Live and Active return until the roster changes; nil tells
	// that they must be made anew. Silence counts in readable time, which moves with a
	// reading only. A node looks at them many times a second: sorting them each time would
	// take most of a quiet node's processor time in a large fleet.
	live, active []Record
}

type member struct {
	Record
	heard time.Duration
}

// NewRoster returns an empty roster.
func NewRoster(clock bootclock.Clock) *Roster {
	return &Roster{clock: clock, nodes: make(map[string]*member)}
}

// Update takes a node's record.
func (r *Roster) Update(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes[rec.Node] = &member{Record: rec, heard: r.readable}
	r.changed()
}

// HasRead tells whether the nodes' records were ever read.
func (r *Roster) HasRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.caught || r.caughtAt != 0
}

// LastRecord returns a node's last record; false if none was read.
func (r *Roster) LastRecord(node string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.nodes[node]
	if !ok {
		return Record{}, false
	}
	return m.Record, true
}

// Remove drops a node whose record was deleted.
func (r *Roster) Remove(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.nodes, node)
	r.changed()
}

// changed lets the lists be made anew. Caller holds mu.
func (r *Roster) changed() { r.live, r.active = nil, nil }

// mostBetweenReadings bounds how much of the time between two successful readings
// counts as time in which the store could be read.
const mostBetweenReadings = 2 * time.Second

// ReadSucceeded notes a successful reading of the store.
func (r *Roster) ReadSucceeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.caught {
		r.readable += min(now-r.caughtAt, mostBetweenReadings)
		r.changed()
	}
	r.caught, r.caughtAt = true, now
}

// ReadFailed notes a failed reading: the time since the last successful one doesn't count.
func (r *Roster) ReadFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caught = false
}

// Live returns the nodes that serve, by name. The list is shared and must not be changed.
func (r *Roster) Live() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.live == nil {
		r.live = r.heardWithin(LiveTimeout, silentRecords)
	}
	return r.live
}

// Active returns the nodes that may have duties, by name. The list is shared and must not be
// changed.
func (r *Roster) Active() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active == nil {
		r.active = r.heardWithin(ActiveTimeout, idleRecords)
	}
	return r.active
}

// How many records of a longer interval a node may leave out.
const (
	silentRecords = 2
	idleRecords   = 1
)

// heardWithin lists the nodes that were heard of within a time. Caller holds mu.
func (r *Roster) heardWithin(silence time.Duration, records int) []Record {
	live := make([]Record, 0, len(r.nodes))
	for _, m := range r.nodes {
		if !m.Leaving && r.readable-m.heard <= silence+m.late(records) {
			live = append(live, m.Record)
		}
	}
	slices.SortFunc(live, func(a, b Record) int { return strings.Compare(a.Node, b.Node) })
	return live
}

// IsLive tells whether an incarnation of a node serves.
func (r *Roster) IsLive(node, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.nodes[node]
	return ok && m.Incarnation == incarnation && !m.Leaving && r.readable-m.heard <= LiveTimeout+m.late(silentRecords)
}
