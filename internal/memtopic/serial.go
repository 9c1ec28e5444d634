package memtopic

import (
	"context"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Serial is a topic that processes its appends one at a time, as a partition of the store does.
type Serial struct {
	keyedlog.Topic
	// AppendTime is how long one append takes.
	AppendTime time.Duration

	mu      sync.Mutex
	freeAt  time.Time
	appends int
}

// Append appends records once all earlier appends have been processed. An append whose caller
// gave up takes its time all the same.
func (s *Serial) Append(ctx context.Context, fence keyedlog.Fence, records ...keyedlog.Record) error {
	timer := time.NewTimer(s.enqueue())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	return s.Topic.Append(ctx, fence, records...)
}

// enqueue queues an append and returns the time until it is processed.
func (s *Serial) enqueue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(s.AppendTime)
	s.appends++
	return s.freeAt.Sub(now)
}

// Queued returns how many appends were queued.
func (s *Serial) Queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}
