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
	// stepInterval is the time between checks of the campaigned leases.
	stepInterval = 500 * time.Millisecond
	// maxClaimDelay bounds the random delay that spreads the claims of nodes campaigning for
	// the same lease.
	maxClaimDelay = 2 * time.Second
)

// Submitter queues an entry for the log. recordlog.Writer implements it.
type Submitter interface {
	Submit(entry *recordv1.Entry) *recordlog.Ticket
}

// Manager acquires and renews leases for one incarnation through the log. It implements Holder
// and is safe for concurrent use.
type Manager struct {
	incarnation string
	term        time.Duration
	table       *Table
	log         Submitter
	clock       clockwork.Clock
	events      *event.Recorder

	mu          sync.Mutex
	candidacies map[string]*candidacy
}

var _ Holder = (*Manager)(nil)

// candidacy is this node's local state of one lease. It is guarded by Manager.mu.
type candidacy struct {
	state      State
	changedAt  time.Time
	claimDelay time.Duration
	// deadline is when this node stops acting; zero while it doesn't hold the lease.
	deadline time.Time
	epoch    uint64
	pending  bool
}

// NewManager returns a manager that campaigns for no lease yet. term is how long a lease lasts
// without renewal.
func NewManager(incarnation string, term time.Duration, table *Table, log Submitter, clock clockwork.Clock, events *event.Recorder) *Manager {
	return &Manager{incarnation: incarnation, term: term, table: table, log: log, clock: clock, events: events,
		candidacies: map[string]*candidacy{}}
}

// Campaign implements Holder.
func (m *Manager) Campaign(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.candidacies[name] == nil {
		m.candidacies[name] = &candidacy{state: m.table.Get(name), changedAt: m.clock.Now(), claimDelay: rand.N(maxClaimDelay)}
	}
}

// Held implements Holder.
func (m *Manager) Held(name string) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.candidacies[name]
	if c == nil || !m.clock.Now().Before(c.deadline) {
		return Lease{}, false
	}
	return Lease{Name: name, Epoch: c.epoch}, true
}

// Release implements Holder.
func (m *Manager) Release(name string) {
	m.mu.Lock()
	c := m.candidacies[name]
	delete(m.candidacies, name)
	m.mu.Unlock()
	if c != nil && c.epoch != 0 {
		m.log.Submit(&recordv1.Entry{Body: &recordv1.Entry_LeaseRelease{
			LeaseRelease: &recordv1.LeaseRelease{Lease: name, Epoch: c.epoch},
		}})
		m.events.Record(event.LeaseLost, "lease", name, "epoch", c.epoch, "why", "released")
	}
}

// ReleaseAll releases every lease, for a graceful shutdown.
func (m *Manager) ReleaseAll() {
	m.mu.Lock()
	var names []string
	for name := range m.candidacies {
		names = append(names, name)
	}
	m.mu.Unlock()
	for _, name := range names {
		m.Release(name)
	}
}

// Run claims and renews the campaigned leases until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	periodic.RunNow(ctx, m.clock, stepInterval, m.step)
}

func (m *Manager) step(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for name, c := range m.candidacies {
		m.observe(name, c, now)
		o := observation{self: m.incarnation, state: c.state, changedAt: c.changedAt, claimDelay: c.claimDelay, pending: c.pending}
		if decide(o, now) != actionNone {
			c.pending = true
			m.submit(ctx, name, c, now)
		}
	}
}

// observe records changes of the lease's replicated state. The time recorded is this node's own
// and later than any time from which the holder counts.
func (m *Manager) observe(name string, c *candidacy, now time.Time) {
	if state := m.table.Get(name); state != c.state {
		c.state = state
		c.changedAt = now
	}
	if c.epoch != 0 && !now.Before(c.deadline) {
		m.events.Record(event.LeaseLost, "lease", name, "epoch", c.epoch, "why", "not renewed in time")
		c.epoch = 0
		c.deadline = time.Time{}
	}
}

func (m *Manager) submit(ctx context.Context, name string, c *candidacy, started time.Time) {
	ticket := m.log.Submit(&recordv1.Entry{Body: &recordv1.Entry_LeaseClaim{LeaseClaim: &recordv1.LeaseClaim{
		Lease: name, Epoch: c.state.Epoch, TermMs: uint64(m.term.Milliseconds()), Renewal: c.state.Renewal,
	}}})
	go func() {
		select {
		case <-ctx.Done():
		case verdict := <-ticket.Done():
			m.handleVerdict(name, started, verdict)
		}
	}()
}

// handleVerdict processes the verdict on a claim that this node began to append at started. A
// verdict that arrives after the term, for example after a long outage, gives no right to act,
// since the term counts from started.
func (m *Manager) handleVerdict(name string, started time.Time, verdict fold.Verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.candidacies[name]
	if c == nil {
		return
	}
	c.pending = false
	c.claimDelay = rand.N(maxClaimDelay)
	if !verdict.OK() {
		return
	}
	if c.epoch != verdict.Version {
		m.events.Record(event.LeaseTaken, "lease", name, "epoch", verdict.Version)
	}
	c.epoch = verdict.Version
	c.deadline = actDeadline(started, m.term)
}
