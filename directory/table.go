package directory

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// doubtFor is how long an upstream whose entry vanished may still be used when its
	// service has no other. Entries that lapsed with the store come back about two
	// seconds after it; a leaving upstream serves longer than that after its entry went.
	doubtFor = 2200 * time.Millisecond
	// storeAwayWithin is how recently reading the store must have failed for a vanished
	// entry to count as lapsed with the store rather than as a leaving upstream.
	storeAwayWithin = 5 * time.Second
)

// Snapshot is the upstreams of each service at one moment. It is never changed.
type Snapshot struct {
	services map[string][]*Upstream
}

// Upstreams returns those of a service that are ready or doubted.
func (s *Snapshot) Upstreams(service string) []*Upstream { return s.services[service] }

// Table follows the upstreams' entries. It is safe for concurrent use.
type Table struct {
	clock bootclock.Clock

	mu      sync.Mutex
	entries map[string]*Upstream
	// storeLost is when reading the store last failed; zero if never.
	storeLost time.Duration
	current   atomic.Pointer[Snapshot]
	// listed is closed once entries were taken over all at once, as a first reading does.
	listed    chan struct{}
	listedYet sync.Once
}

// NewTable returns an empty table.
func NewTable(clock bootclock.Clock) *Table {
	t := &Table{clock: clock, entries: make(map[string]*Upstream), listed: make(chan struct{})}
	t.current.Store(&Snapshot{})
	return t
}

// Current returns the newest snapshot without locking.
func (t *Table) Current() *Snapshot { return t.current.Load() }

// RecordStoreFailure notes that the entries couldn't be read.
func (t *Table) RecordStoreFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeLost = t.clock.Now()
}

// Change is how an entry changed the table, for logs.
type Change int

const (
	// Unchanged: nothing that a request could notice.
	Unchanged Change = iota
	// Joined: a new upstream or a new incarnation.
	Joined
	// Left: the upstream drains or is gone.
	Left
)

// Put takes an entry over.
func (t *Table) Put(e Entry) Change { return t.Apply([]Update{{Entry: e}})[0] }

// Remove takes note that an entry is gone and tells whether it was in use.
func (t *Table) Remove(id string) bool {
	return t.Apply([]Update{{Entry: Entry{ID: id}, Removed: true}})[0] == Left
}

// Update is news of one upstream.
type Update struct {
	// Entry is what it wrote; of one that is gone, the ID alone.
	Entry   Entry
	Removed bool
}

// Apply takes updates over in order and tells what each of them changed.
//
// The snapshot is made once for all of them. It holds all upstreams in order: made for each
// update, three thousand upstreams that register within seconds cost a node minutes of its
// processor, and configurations waited behind them.
func (t *Table) Apply(updates []Update) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := make([]Change, len(updates))
	for i, u := range updates {
		switch {
		case !u.Removed:
			changes[i] = t.put(u.Entry)
		case t.remove(u.Entry.ID):
			changes[i] = Left
		}
	}
	t.publish()
	return changes
}

func (t *Table) put(e Entry) Change {
	old, known := t.entries[e.ID]
	if known && !e.follows(old.Entry) {
		return Unchanged
	}
	u := &Upstream{Entry: e, Stats: &Stats{}}
	reborn := known && (e.StartedAt != old.StartedAt || e.Address != old.Address || e.Service != old.Service)
	if known && !reborn {
		u.Stats = old.Stats
	}
	t.entries[e.ID] = u
	switch {
	case e.State == Draining && (!known || old.State != Draining):
		return Left
	case !known || reborn || old.StaleUntil != 0 || old.State != e.State:
		return Joined
	default:
		return Unchanged
	}
}

func (t *Table) remove(id string) bool {
	old, known := t.entries[id]
	if !known {
		return false
	}
	now := t.clock.Now()
	lapsed := t.storeLost != 0 && now-t.storeLost < storeAwayWithin && old.State == Ready
	if !lapsed {
		delete(t.entries, id)
		return true
	}
	if old.StaleUntil == 0 {
		doubted := *old
		doubted.StaleUntil = now + doubtFor
		t.entries[id] = &doubted
	}
	return true
}

// Replace takes over all entries at once, as after the store's history was lost.
func (t *Table) Replace(entries []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		t.put(e)
	}
	for id := range t.entries {
		if !present[id] {
			t.remove(id)
		}
	}
	t.publish()
	t.listedYet.Do(func() { close(t.listed) })
}

// Synced returns a channel that is closed once all entries were read.
func (t *Table) Synced() <-chan struct{} { return t.listed }

// Expire drops doubted upstreams whose time is over.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	expired := false
	for id, u := range t.entries {
		if u.StaleUntil != 0 && now >= u.StaleUntil {
			delete(t.entries, id)
			expired = true
		}
	}
	if expired {
		t.publish()
	}
}

// publish makes a new snapshot. Caller holds mu.
func (t *Table) publish() {
	s := &Snapshot{services: make(map[string][]*Upstream)}
	for _, u := range t.entries {
		if u.State == Ready {
			s.services[u.Service] = append(s.services[u.Service], u)
		}
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	t.current.Store(s)
}
