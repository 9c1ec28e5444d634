package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/recordlog"
)

const (
	// stepInterval is how often a keeper looks at the leases it wants.
	stepInterval = 500 * time.Millisecond
	// maxClaimDelay spreads the claims of nodes that want the same lease.
	maxClaimDelay = 2 * time.Second
)

// Submitter queues an entry for the log; recordlog.Writer is one.
type Submitter interface {
	Submit(entry *recordv1.Entry) *recordlog.Ticket
}

// Manager holds leases for one incarnation through the log. It implements Lessor
// and is safe for concurrent use.
type Manager struct {
	incarnation string
	term        time.Duration
	table       *Table
	journal     Submitter
	clock       clockwork.Clock
	events      *event.Recorder

	mu     sync.Mutex
	wanted map[string]*wanted
}

var _ Holder = (*Manager)(nil)

// wanted is this node's side of one lease. Guarded by Keeper.mu.
type wanted struct {
	state State
	seen  time.Time
	delay time.Duration
	// until is when this node stops acting; zero while it doesn't hold the lease.
	until   time.Time
	epoch   uint64
	pending bool
}

// NewManager returns a keeper that wants nothing yet. term is how long a lease
// lasts without renewal.
func NewManager(incarnation string, term time.Duration, table *Table, journal Submitter, clock clockwork.Clock, events *event.Recorder) *Manager {
	return &Manager{incarnation: incarnation, term: term, table: table, journal: journal, clock: clock, events: events,
		wanted: map[string]*wanted{}}
}

// Campaign implements Lessor.
func (k *Manager) Campaign(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.wanted[name] == nil {
		k.wanted[name] = &wanted{state: k.table.Get(name), seen: k.clock.Now(), delay: rand.N(maxClaimDelay)}
	}
}

// Held implements Lessor.
func (k *Manager) Held(name string) (Lease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.wanted[name]
	if w == nil || !k.clock.Now().Before(w.until) {
		return Lease{}, false
	}
	return Lease{Name: name, Epoch: w.epoch}, true
}

// Release implements Lessor.
func (k *Manager) Release(name string) {
	k.mu.Lock()
	w := k.wanted[name]
	delete(k.wanted, name)
	k.mu.Unlock()
	if w != nil && w.epoch != 0 {
		k.journal.Submit(&recordv1.Entry{Body: &recordv1.Entry_LeaseRelease{
			LeaseRelease: &recordv1.LeaseRelease{Lease: name, Epoch: w.epoch},
		}})
		k.events.Record(event.LeaseLost, "lease", name, "epoch", w.epoch, "why", "released")
	}
}

// ReleaseAll gives every lease up, for a graceful stop.
func (k *Manager) ReleaseAll() {
	k.mu.Lock()
	var names []string
	for name := range k.wanted {
		names = append(names, name)
	}
	k.mu.Unlock()
	for _, name := range names {
		k.Release(name)
	}
}

// Run keeps the wanted leases until ctx ends.
func (k *Manager) Run(ctx context.Context) {
	periodic.RunNow(ctx, k.clock, stepInterval, k.step)
}

func (k *Manager) step(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	for name, w := range k.wanted {
		k.observe(name, w, now)
		o := observation{self: k.incarnation, state: w.state, seen: w.seen, delay: w.delay, pending: w.pending}
		if decide(o, now) != actionNone {
			w.pending = true
			k.submit(ctx, name, w, now)
		}
	}
}

// observe notes a change of the folded lease. The time noted is this node's own,
// later than anything the holder counts from.
func (k *Manager) observe(name string, w *wanted, now time.Time) {
	if state := k.table.Get(name); state != w.state {
		w.state = state
		w.seen = now
	}
	if w.epoch != 0 && !now.Before(w.until) {
		k.events.Record(event.LeaseLost, "lease", name, "epoch", w.epoch, "why", "not renewed in time")
		w.epoch = 0
		w.until = time.Time{}
	}
}

func (k *Manager) submit(ctx context.Context, name string, w *wanted, started time.Time) {
	ticket := k.journal.Submit(&recordv1.Entry{Body: &recordv1.Entry_LeaseClaim{LeaseClaim: &recordv1.LeaseClaim{
		Lease: name, Epoch: w.state.Epoch, TermMs: uint64(k.term.Milliseconds()), Renewal: w.state.Renewal,
	}}})
	go func() {
		select {
		case <-ctx.Done():
		case verdict := <-ticket.Done():
			k.decided(name, started, verdict)
		}
	}()
}

// decided takes in the verdict on a claim that this node began to append at
// started. A verdict that comes after the term, as after a long outage, gives no
// right to act, since the term counts from started.
func (k *Manager) decided(name string, started time.Time, verdict fold.Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.wanted[name]
	if w == nil {
		return
	}
	w.pending = false
	w.delay = rand.N(maxClaimDelay)
	if !verdict.OK() {
		return
	}
	if w.epoch != verdict.Version {
		k.events.Record(event.LeaseTaken, "lease", name, "epoch", verdict.Version)
	}
	w.epoch = verdict.Version
	w.until = actsUntil(started, k.term)
}
