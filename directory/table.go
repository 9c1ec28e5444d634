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
	// staleTTL is how long an upstream whose entry vanished may still be used when its service
	// has no other. Entries that expired during a store outage return about two seconds after
	// the store; a leaving upstream keeps serving longer than that after its entry was removed.
	staleTTL = 2200 * time.Millisecond
	// storeFailureWindow is how recently reading the store must have failed for a vanished
	// entry to be attributed to the store outage rather than to a leaving upstream.
	storeFailureWindow = 5 * time.Second
)

// Snapshot holds the upstreams of each service at one point in time. It is immutable.
type Snapshot struct {
	services map[string][]*Upstream
}

// Upstreams returns the upstreams of a service that are ready, including stale ones.
func (s *Snapshot) Upstreams(service string) []*Upstream { return s.services[service] }

// Table tracks the upstreams' entries. It is safe for concurrent use.
type Table struct {
	// FirstOpen returns how many requests may be open at an upstream with a number of slots until its first
	// answer; nil for any number. It must not be changed once the table is in use.
	FirstOpen func(slots int) int
	// Warmup tells how requests to cold upstreams are limited; nil if they aren't. It must not be changed once the
	// table is in use.
	Warmup WarmupPolicy
	// Ramp tells which upstreams that started are ramped up; nil if none is. It must not be changed once the table is
	// in use.
	Ramp RampPolicy
	// OnDropped is called with each entry that may have been executed late and changed nothing; it may be nil. It must not
	// be changed once the table is in use, and must not call the table.
	OnDropped func(Dropped)

	clock bootclock.Clock

	mu      sync.Mutex
	entries map[string]*Upstream
	// departed remembers the upstreams whose entries are gone.
	departed *departed
	// storeFailedAt is when reading the store last failed; zero if never.
	storeFailedAt time.Duration
	// versions holds the versions of the upstreams of each service, also those that have left, by service.
	versions map[string]versionUses
	current  atomic.Pointer[Snapshot]
	// evacuated holds the data centres whose upstreams get no requests.
	evacuated map[string]bool
	// doubtedUntil is until when entries may be of incarnations that ended unseen, by the boot clock.
	doubtedUntil atomic.Int64
	// synced is closed once Replace has been called, which the first full read does.
	synced     chan struct{}
	syncedOnce sync.Once
}

// NewTable returns an empty table.
func NewTable(clock bootclock.Clock) *Table {
	t := &Table{clock: clock, entries: make(map[string]*Upstream), departed: newDeparted(), versions: make(map[string]versionUses), synced: make(chan struct{})}
	t.current.Store(&Snapshot{})
	return t
}

// Current returns the latest snapshot without locking.
func (t *Table) Current() *Snapshot { return t.current.Load() }

// RecordStoreFailure records that the entries couldn't be read.
func (t *Table) RecordStoreFailure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeFailedAt = t.clock.Now()
	t.doubtedUntil.Store(int64(t.storeFailedAt + lapseTime))
}

// lapseTime is longer than the 3.6 s that it takes an entry to lapse once its upstream has ended.
const lapseTime = 4 * time.Second

// InDoubt reports whether entries may be of incarnations that ended before this node could notice: shortly after all
// entries were read, as when the node has started, and while the store can't be read.
func (t *Table) InDoubt(now time.Duration) bool { return int64(now) < t.doubtedUntil.Load() }

// Change is how an entry changed the table, for logs.
type Change int

const (
	// Unchanged means that nothing changed that a request could notice.
	Unchanged Change = iota
	// Joined means a new upstream or a new incarnation.
	Joined
	// Left means that the upstream drains or is gone.
	Left
)

// Put applies an entry.
func (t *Table) Put(e Entry) Change { return t.Apply([]Update{{Entry: e}})[0] }

// Remove applies the removal of an entry and reports whether it was in use.
func (t *Table) Remove(id string) bool {
	return t.Apply([]Update{{Entry: Entry{ID: id}, Removed: true}})[0] == Left
}

// Update is a change to one upstream's entry.
type Update struct {
	// Entry is the new entry; for a removed one only its ID and the removal's offset.
	Entry   Entry
	Removed bool
}

// Apply applies updates in order and returns what each of them changed.
//
// The snapshot is built once for all of them because it holds every upstream, sorted. Built for
// each update, it cost a node minutes of CPU time when three thousand upstreams registered
// within seconds, and configuration changes were delayed behind it.
func (t *Table) Apply(updates []Update) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := make([]Change, len(updates))
	for i, u := range updates {
		switch {
		case !u.Removed:
			changes[i] = t.put(u.Entry)
		case t.remove(u.Entry.ID, u.Entry.Offset):
			changes[i] = Left
		}
	}
	t.publish()
	return changes
}

func (t *Table) put(e Entry) Change {
	now := t.clock.Now()
	old, exists := t.entries[e.ID]
	known := old
	if !exists {
		known = t.departed.find(e.ID, now)
	}
	u := &Upstream{Entry: e}
	if known == nil {
		u.incarnations = newIncarnations(e, now)
	} else if v := known.incarnations.judge(e, known.Entry, !exists, now); v == accepted {
		u.incarnations = known.incarnations
	} else {
		t.reportDropped(e, known.Entry, !exists, v)
		return Unchanged
	}
	t.departed.take(e.ID, now) // it is listed from now on
	replaced := known != nil && (e.StartedAt != known.StartedAt || e.Address != known.Address || e.Service != known.Service)
	switch {
	case known == nil:
		u.Stats = &Stats{}
	case replaced:
		u.Stats = known.succeed(e.isRestart(known.Entry))
	default:
		u.Stats = known.Stats
	}
	if u.Stats != nil && (known == nil || u.Stats != known.Stats) && t.FirstOpen != nil {
		u.Throttle.AwaitAnswer(t.FirstOpen(e.Slots))
	}
	if known == nil || replaced && e.isRestart(known.Entry) {
		t.beginRamp(u)
	}
	t.addVersion(u)
	if exists {
		t.removeVersion(old)
	}
	t.entries[e.ID] = u
	if !exists || replaced || e.Sequence != old.Sequence {
		t.cool(u, e.Warmup)
	}
	switch {
	case e.State == Draining && (!exists || old.State != Draining):
		return Left
	case u.Leaving():
		return Unchanged
	case !exists || replaced || old.StaleUntil != 0 || old.State != e.State:
		return Joined
	default:
		return Unchanged
	}
}

func (t *Table) reportDropped(e, present Entry, departed bool, v verdict) {
	if reason := reasons[v]; reason != "" && t.OnDropped != nil {
		t.OnDropped(Dropped{Entry: e, Present: present, Departed: departed, Reason: reason})
	}
}

// remove applies the removal of an entry that stands at an offset of the log; zero if that isn't known.
func (t *Table) remove(id string, offset int64) bool {
	old, exists := t.entries[id]
	if !exists {
		return false
	}
	now := t.clock.Now()
	expiredWithStore := t.storeFailedAt != 0 && now-t.storeFailedAt < storeFailureWindow && old.State == Ready
	removed := *old
	removed.Offset = max(old.Offset, offset)
	if !expiredWithStore {
		t.depart(&removed, now)
		return true
	}
	if old.StaleUntil == 0 {
		removed.StaleUntil = now + staleTTL
	}
	t.entries[id] = &removed
	return true
}

// depart moves an upstream whose entry is gone to the departed ones. The caller must hold mu.
func (t *Table) depart(u *Upstream, now time.Duration) {
	delete(t.entries, u.ID)
	t.removeVersion(u)
	t.departed.add(u, now)
}

// Replace replaces all entries at once, for example after the store lost its history.
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
			t.remove(id, 0)
		}
	}
	t.publish()
	t.doubtedUntil.Store(int64(t.clock.Now() + lapseTime))
	t.syncedOnce.Do(func() { close(t.synced) })
}

// Synced returns a channel that is closed once all entries were read.
func (t *Table) Synced() <-chan struct{} { return t.synced }

// Expire removes stale upstreams whose time has passed.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	expired := false
	for _, u := range t.entries {
		if u.StaleUntil != 0 && now >= u.StaleUntil {
			t.depart(u, now)
			expired = true
		}
	}
	if expired {
		t.publish()
	}
}

// publish builds and stores a new snapshot. The caller must hold mu.
func (t *Table) publish() {
	s := &Snapshot{services: make(map[string][]*Upstream)}
	for _, u := range t.entries {
		if u.State == Ready && !t.evacuated[u.DataCentre] {
			s.services[u.Service] = append(s.services[u.Service], u)
		}
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	t.current.Store(s)
}
