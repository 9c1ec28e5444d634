package presence

import (
	"slices"
	"strings"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// LiveTimeout is how long a node may be silent, while the store can be read, before callers
	// are no longer sent to it: five records at the minimum interval. Nodes with a longer
	// interval may miss two more.
	LiveTimeout = 2600 * time.Millisecond
	// ActiveTimeout is how long a node may be silent before another node takes over its tasks:
	// three records, and one more for a node with a longer interval. A premature takeover costs
	// only a few calls, since every write of a task is fenced.
	ActiveTimeout = 1600 * time.Millisecond
	// HoldTimeout is how long a silent node may still use its share of what all nodes use together. A node
	// that can't read the others' records gives its share up after SelfHoldTimeout, before they take it over:
	// the difference covers the interval between records and their way.
	HoldTimeout     = 20 * time.Second
	SelfHoldTimeout = 15 * time.Second
)

// Roster holds the last known record of each node. It is safe for concurrent use.
type Roster struct {
	clock bootclock.Clock

	mu    sync.Mutex
	nodes map[string]*member
	// readableTime is the total time in which the store could be read; silence is measured in
	// it.
	readableTime time.Duration
	lastReadAt   time.Duration
	lastReadOK   bool
	// live, active and holding cache the results of Live, Active and Holding until the roster changes; nil
	// if they must be rebuilt. Silence is measured in readable time, which advances only when the store
	// is read. A node calls Live and Active many times a second: sorting each time would take
	// most of an idle node's processor time in a large fleet.
	live, active, holding []Record
	// listed caches the result of ListedCount likewise; negative if it must be counted again.
	listed int
}

type member struct {
	Record
	heardAt time.Duration
}

// NewRoster returns an empty roster.
func NewRoster(clock bootclock.Clock) *Roster {
	return &Roster{clock: clock, nodes: make(map[string]*member), listed: -1}
}

// Update stores a node's record.
func (r *Roster) Update(rec Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes[rec.Node] = &member{Record: rec, heardAt: r.readableTime}
	r.invalidate()
}

// HasRead reports whether the nodes' records were ever read.
func (r *Roster) HasRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReadOK || r.lastReadAt != 0
}

// LastRecord returns a node's last record; false if there is none.
func (r *Roster) LastRecord(node string) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.nodes[node]
	if !ok {
		return Record{}, false
	}
	return m.Record, true
}

// Remove deletes a node whose record was deleted.
func (r *Roster) Remove(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.nodes, node)
	r.invalidate()
}

// invalidate discards the cached lists. The caller holds mu.
func (r *Roster) invalidate() { r.live, r.active, r.holding, r.listed = nil, nil, nil, -1 }

// maxReadGap bounds how much of the time between two successful reads counts as time in which
// the store could be read.
const maxReadGap = 2 * time.Second

// ReadSucceeded records a successful read of the store.
func (r *Roster) ReadSucceeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.lastReadOK {
		r.readableTime += min(now-r.lastReadAt, maxReadGap)
		r.invalidate()
	}
	r.lastReadOK, r.lastReadAt = true, now
}

// ReadFailed records a failed read: the time since the last successful one does not count.
func (r *Roster) ReadFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReadOK = false
}

// Live returns the nodes that serve, sorted by name. The slice is shared and must not be
// modified.
func (r *Roster) Live() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.live == nil {
		r.live = r.heardWithin(LiveTimeout, liveMissedRecords)
	}
	return r.live
}

// ListedCount returns how many of the nodes that serve have addresses that are always given to callers of their
// region. It is asked for each new upstream, of which a starting node learns thousands at once.
func (r *Roster) ListedCount() int {
	live := r.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listed < 0 {
		r.listed = CountListed(live)
	}
	return r.listed
}

// Active returns the nodes that may hold tasks, sorted by name. The slice is shared and must not
// be modified.
func (r *Roster) Active() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active == nil {
		r.active = r.heardWithin(ActiveTimeout, activeMissedRecords)
	}
	return r.active
}

// Holding returns the nodes that may use their share of what all nodes use together, sorted by name. Leaving ones do
// so until they are gone. The slice is shared and must not be modified.
func (r *Roster) Holding() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.holding == nil {
		r.holding = r.recordsOf(func(m *member) bool { return r.readableTime-m.heardAt <= HoldTimeout })
	}
	return r.holding
}

// Known returns the nodes that have a record, however old, sorted by name.
func (r *Roster) Known() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordsOf(func(*member) bool { return true })
}

// ReadWithin reports whether the nodes' records were read within a time.
func (r *Roster) ReadWithin(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastReadAt != 0 && r.clock.Now()-r.lastReadAt <= d
}

// How many records a node with a longer interval may miss.
const (
	liveMissedRecords   = 2
	activeMissedRecords = 1
)

// heardWithin lists the nodes that were heard from within the given silence. The caller holds
// mu.
func (r *Roster) heardWithin(silence time.Duration, missed int) []Record {
	return r.recordsOf(func(m *member) bool {
		return !m.Leaving && r.readableTime-m.heardAt <= silence+m.extraSilence(missed)
	})
}

// recordsOf lists the nodes that match accepts. The caller holds mu.
func (r *Roster) recordsOf(match func(*member) bool) []Record {
	records := make([]Record, 0, len(r.nodes))
	for _, m := range r.nodes {
		if match(m) {
			records = append(records, m.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Node, b.Node) })
	return records
}

// IsLive reports whether an incarnation of a node serves.
func (r *Roster) IsLive(node, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.nodes[node]
	return ok && m.Incarnation == incarnation && !m.Leaving && r.readableTime-m.heardAt <= LiveTimeout+m.extraSilence(liveMissedRecords)
}
