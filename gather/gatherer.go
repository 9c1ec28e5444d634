package gather

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/record"
)

var (
	errFull    = errors.New("the gatherer holds as much as it may")
	errLate    = errors.New("the gatherer's append wasn't answered in time")
	errForms   = errors.New("not every open node reads gathered records")
	errStopped = errors.New("the gatherer has stopped")
)

// Gatherer appends the batches that nodes hand it, as many as wait in one record. One
// append is on its way at a time. It is safe for concurrent use.
type Gatherer struct {
	log    ports.Log
	stream string
	clock  clockwork.Clock
	policy Policy
	// allRead tells whether every open node reads gathered records.
	allRead func() bool

	wake chan struct{}

	mu      sync.Mutex
	waiting []*held
	bytes   int
	stopped bool

	appends atomic.Uint64
}

// NewGatherer returns a gatherer for a stream of the log. allRead tells whether every
// open node reads gathered records (record.Forms). Run makes it append.
func NewGatherer(log ports.Log, stream string, clock clockwork.Clock, policy Policy, allRead func() bool) *Gatherer {
	return &Gatherer{log: log, stream: stream, clock: clock, policy: policy, allRead: allRead, wake: make(chan struct{}, 1)}
}

// Appends returns how many records it began to append.
func (g *Gatherer) Appends() uint64 { return g.appends.Load() }

// QueuedBytes returns how many bytes it holds for others.
func (g *Gatherer) QueuedBytes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bytes
}

// Append returns the offset once a batch is in the log, or an error within wait.
// After an error the batch may be in the log or get there yet.
func (g *Gatherer) Append(ctx context.Context, batch []byte, wait time.Duration) (uint64, error) {
	if err := record.CheckJoinable(batch); err != nil {
		return 0, errors.Trace(err)
	}
	if !g.allRead() {
		return 0, errors.Trace(errForms)
	}
	wait = min(wait, g.policy.Timeout)
	h := &held{batch: batch, until: g.clock.Now().Add(wait), answer: make(chan answer, 1)}
	if err := g.hold(h); err != nil {
		return 0, err
	}
	timer := g.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case a := <-h.answer:
		return a.offset, a.err
	case <-timer.Chan():
		return 0, errors.Trace(errLate)
	case <-ctx.Done():
		return 0, errors.Trace(ctx.Err())
	}
}

func (g *Gatherer) hold(h *held) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return errors.Trace(errStopped)
	}
	if g.bytes+len(h.batch) > maxWaiting {
		return errors.Trace(errFull)
	}
	g.waiting = append(g.waiting, h)
	g.bytes += len(h.batch)
	g.signal()
	return nil
}

func (g *Gatherer) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run appends until ctx ends. What still waits then is answered at once, so that its
// writers append it themselves without waiting for the answer's time.
func (g *Gatherer) Run(ctx context.Context) {
	defer g.stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(g.policy.AppendInterval - g.clock.Since(last)):
		}
		taken := g.take()
		if len(taken) == 0 {
			continue
		}
		last = g.clock.Now()
		g.append(ctx, taken)
	}
}

// take removes what goes into the next record. It drops what its writer has given up:
// a gatherer that was paused would otherwise fill the log with void batches.
func (g *Gatherer) take() []*held {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var taken []*held
	size := 0
	for len(g.waiting) > 0 && size < maxRecord {
		next := g.waiting[0]
		g.waiting[0] = nil
		g.waiting = g.waiting[1:]
		g.bytes -= len(next.batch)
		if now.Before(next.until) {
			taken = append(taken, next)
			size += len(next.batch)
		}
	}
	if len(g.waiting) > 0 {
		g.signal()
	}
	return taken
}

func (g *Gatherer) append(ctx context.Context, taken []*held) {
	batches := make([][]byte, 0, len(taken))
	for _, h := range taken {
		batches = append(batches, h.batch)
	}
	attempt, cancel := clockwork.WithTimeout(ctx, g.clock, g.policy.Timeout)
	defer cancel()
	g.appends.Add(1)
	offset, err := g.log.Append(attempt, g.stream, record.Pack(record.Join(batches)))
	for _, h := range taken {
		h.answer <- answer{offset, errors.Trace(err)}
	}
}

func (g *Gatherer) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	for _, h := range g.waiting {
		h.answer <- answer{err: errors.Trace(errStopped)}
	}
	g.waiting, g.bytes = nil, 0
}
