package peerfetch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Copy holds the newest records of a topic for peers. It is safe for concurrent use.
type Copy struct {
	mu      sync.Mutex
	records map[string]keyedlog.Record
	// complete is the offset from which all records are known, those that delete a key
	// included; next is the offset up to which the topic was read. Both are negative before
	// the first reading.
	complete, next int64
	// grown is closed and replaced whenever next grows.
	grown chan struct{}
}

// NewCopy returns a copy that holds nothing.
func NewCopy() *Copy { return &Copy{complete: -1, next: -1, grown: make(chan struct{})} }

// Reset replaces everything by the newest records.
func (c *Copy) Reset(records []keyedlog.Record, next int64) {
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
func (c *Copy) Extend(from int64, records []keyedlog.Record, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next < 0 || from > c.next || next <= c.next {
		return
	}
	c.put(records)
	c.next = next
	c.wake()
}

func (c *Copy) put(records []keyedlog.Record) {
	for _, r := range records {
		if old, ok := c.records[r.Key]; !ok || old.Offset <= r.Offset {
			c.records[r.Key] = r
		}
	}
}

func (c *Copy) wake() {
	close(c.grown)
	c.grown = make(chan struct{})
}

// Answer answers an ask. It waits as long as the ask allows until the topic was read far enough.
func (c *Copy) Answer(ctx context.Context, ask Ask) Reply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(ask.WaitMs)*time.Millisecond)
	defer cancel()
	for {
		reply, grown := c.answer(ask)
		if !reply.Behind {
			return reply
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return reply
		}
	}
}

func (c *Copy) answer(ask Ask) (Reply, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.next < 0 || c.next < ask.End:
		return Reply{Behind: true, Next: c.next}, c.grown
	case ask.From >= 0 && ask.From < c.complete:
		return Reply{Forgotten: true, Next: c.next}, nil
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
