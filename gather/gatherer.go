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
	errQueueFull       = errors.New("the gatherer's queue is full")
	errTimeout         = errors.New("the gatherer's append timed out")
	errUnsupportedForm = errors.New("not every open node supports gathered records")
	errStopped         = errors.New("the gatherer has stopped")
)

// Gatherer appends the batches that nodes forward to it, combining the queued ones into
// one record. Only one append is in flight at a time. It is safe for concurrent use.
type Gatherer struct {
	log    ports.Log
	stream string
	clock  clockwork.Clock
	policy Policy
	// gatheredSupported reports whether every open node reads gathered records.
	gatheredSupported func() bool

	wake chan struct{}

	mu          sync.Mutex
	queue       []*queuedBatch
	queuedBytes int
	stopped     bool

	appends atomic.Uint64
}

// NewGatherer returns a gatherer for a stream of the log. gatheredSupported reports whether
// every open node reads gathered records (record.FormsGathered). It appends only while Run runs.
func NewGatherer(log ports.Log, stream string, clock clockwork.Clock, policy Policy, gatheredSupported func() bool) *Gatherer {
	return &Gatherer{log: log, stream: stream, clock: clock, policy: policy, gatheredSupported: gatheredSupported, wake: make(chan struct{}, 1)}
}

// Appends returns the number of appends started.
func (g *Gatherer) Appends() uint64 { return g.appends.Load() }

// QueuedBytes returns the size of the queued batches in bytes.
func (g *Gatherer) QueuedBytes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queuedBytes
}

// Append queues a batch and returns its offset once it is in the log, or an error within
// wait. After an error the batch may be in the log or still reach it.
func (g *Gatherer) Append(ctx context.Context, batch []byte, wait time.Duration) (uint64, error) {
	if err := record.CheckJoinable(batch); err != nil {
		return 0, errors.Trace(err)
	}
	if !g.gatheredSupported() {
		return 0, errors.Trace(errUnsupportedForm)
	}
	wait = min(wait, g.policy.Timeout)
	q := &queuedBatch{batch: batch, deadline: g.clock.Now().Add(wait), result: make(chan appendResult, 1)}
	if err := g.enqueue(q); err != nil {
		return 0, err
	}
	timer := g.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case result := <-q.result:
		return result.offset, result.err
	case <-timer.Chan():
		return 0, errors.Trace(errTimeout)
	case <-ctx.Done():
		return 0, errors.Trace(ctx.Err())
	}
}

func (g *Gatherer) enqueue(q *queuedBatch) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return errors.Trace(errStopped)
	}
	if g.queuedBytes+len(q.batch) > maxQueuedBytes {
		return errors.Trace(errQueueFull)
	}
	g.queue = append(g.queue, q)
	g.queuedBytes += len(q.batch)
	g.signal()
	return nil
}

func (g *Gatherer) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run appends queued batches until ctx ends. Batches still queued then fail at once, so
// that their writers append them directly without waiting for the timeout.
func (g *Gatherer) Run(ctx context.Context) {
	defer g.shutDown()
	var lastAppend time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-g.clock.After(g.policy.AppendInterval - g.clock.Since(lastAppend)):
		}
		batches := g.dequeue()
		if len(batches) == 0 {
			continue
		}
		lastAppend = g.clock.Now()
		g.appendRecord(ctx, batches)
	}
}

// dequeue removes and returns the batches of the next record. It drops those past their
// deadline: a gatherer that was paused would otherwise fill the log with void batches.
func (g *Gatherer) dequeue() []*queuedBatch {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var dequeued []*queuedBatch
	size := 0
	for len(g.queue) > 0 && size < fullRecordBytes {
		next := g.queue[0]
		g.queue[0] = nil
		g.queue = g.queue[1:]
		g.queuedBytes -= len(next.batch)
		if now.Before(next.deadline) {
			dequeued = append(dequeued, next)
			size += len(next.batch)
		}
	}
	if len(g.queue) > 0 {
		g.signal()
	}
	return dequeued
}

func (g *Gatherer) appendRecord(ctx context.Context, queued []*queuedBatch) {
	batches := make([][]byte, 0, len(queued))
	for _, q := range queued {
		batches = append(batches, q.batch)
	}
	attempt, cancel := clockwork.WithTimeout(ctx, g.clock, g.policy.Timeout)
	defer cancel()
	g.appends.Add(1)
	offset, err := g.log.Append(attempt, g.stream, record.Pack(record.Join(batches)))
	for _, q := range queued {
		q.result <- appendResult{offset, errors.Trace(err)}
	}
}

func (g *Gatherer) shutDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	for _, q := range g.queue {
		q.result <- appendResult{err: errors.Trace(errStopped)}
	}
	g.queue, g.queuedBytes = nil, 0
}
