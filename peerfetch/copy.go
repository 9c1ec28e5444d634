package peerfetch

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Replica holds the newest records of a topic for peers. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex
	records map[string]keyedlog.Record
	// complete is the offset from which all records are known, those that delete a key
	// included; next is the offset up to which the topic was read. Both are negative before
	// the first reading.
	complete, next int64
	// grown is closed and replaced whenever next grows.
	grown chan struct{}

	clock bootclock.Clock
	// readings is how many readings run, arrivedAt when a part of the last one came.
	readings  atomic.Int64
	arrivedAt atomic.Int64
}

// arrivingFor is how long after a part of a reading the rest counts as on its way.
const arrivingFor = 600 * time.Millisecond

// neverArrived is the time of a part that hasn't come.
const neverArrived = math.MinInt64

// NewReplica returns a copy that holds nothing.
func NewReplica(clock bootclock.Clock) *Replica {
	return &Replica{complete: -1, next: -1, grown: make(chan struct{}), clock: clock}
}

// reading is a reading of the store, which calls progress for each part that arrives.
type reading func(progress func()) (records []keyedlog.Record, next int64, err error)

// receive runs a reading and notes what arrives.
func (c *Replica) receive(progress func(), read reading) ([]keyedlog.Record, int64, error) {
	c.arrivedAt.Store(neverArrived)
	c.readings.Add(1)
	defer c.readings.Add(-1)
	return read(func() {
		c.arrivedAt.Store(int64(c.clock.Now()))
		progress()
	})
}

// arriving tells whether records are on their way.
func (c *Replica) arriving() bool {
	at := c.arrivedAt.Load()
	return c.readings.Load() > 0 && at != neverArrived && c.clock.Now()-time.Duration(at) < arrivingFor
}

// Next returns the offset up to which the topic was read; negative before the first reading.
func (c *Replica) Next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

// Reset replaces everything by the newest records.
func (c *Replica) Reset(records []keyedlog.Record, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next < c.next {
		return // a late reading
	}
	c.records = make(map[string]keyedlog.Record, len(records))
	c.put(records)
	c.complete, c.next = next, next
	c.wake()
}

// Extend adds the records from an offset on.
func (c *Replica) Extend(from int64, records []keyedlog.Record, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next < 0 || from > c.next || next <= c.next {
		return
	}
	c.put(records)
	c.next = next
	c.wake()
}

func (c *Replica) put(records []keyedlog.Record) {
	for _, r := range records {
		if old, ok := c.records[r.Key]; !ok || old.Offset <= r.Offset {
			c.records[r.Key] = r
		}
	}
}

func (c *Replica) wake() {
	close(c.grown)
	c.grown = make(chan struct{})
}

// Handle answers an ask. It waits as long as the ask allows until the topic was read far enough.
func (c *Replica) Handle(ctx context.Context, ask Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ask.WaitMs)*time.Millisecond)
	defer cancel()
	for {
		reply, grown := c.answer(ask)
		if !reply.Behind || ctx.Err() != nil {
			return reply
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

func (c *Replica) answer(ask Request) (Reply, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.next < 0 || c.next < ask.End:
		return Reply{Behind: true, Receiving: c.arriving(), Next: c.next}, c.grown
	case ask.From >= 0 && ask.From < c.complete:
		return Reply{Incomplete: true, Next: c.next}, nil
	}
	reply := Reply{Next: c.next}
	for _, r := range c.records {
		if r.Offset >= ask.From && (ask.From >= 0 || !r.Deleted) {
			reply.Records = append(reply.Records, r)
		}
	}
	slices.SortFunc(reply.Records, func(a, b keyedlog.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return reply, nil
}
