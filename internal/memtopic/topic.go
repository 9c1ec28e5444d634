// Package memtopic is a keyed topic in memory for tests of what follows and writes topics.
package memtopic

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Topic is a keyed topic with fences. Its fields are set while nobody uses it.
type Topic struct {
	// Fail makes every call fail.
	Fail error
	// Lose makes appends take effect and fail.
	Lose bool
	// Gate, where set, holds appends up until it is closed.
	Gate chan struct{}

	mu      sync.Mutex
	records []keyedlog.Record
	epochs  map[string]uint64
	appends int
}

// New returns an empty topic.
func New() *Topic { return &Topic{epochs: make(map[string]uint64)} }

// Appends returns how often something was appended.
func (t *Topic) Appends() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.appends
}

// Len returns how many records were appended.
func (t *Topic) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Newest returns the newest record of each key.
func (t *Topic) Newest(_ context.Context, progress func()) ([]keyedlog.Record, int64, error) {
	progress()
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := make(map[string]keyedlog.Record)
	for _, r := range t.records {
		newest[r.Key] = r
	}
	var out []keyedlog.Record
	for _, r := range newest {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	return out, int64(len(t.records)), t.Fail
}

// Probe answers at once.
func (t *Topic) Probe(context.Context) error { return t.Fail }

// End returns how many records were appended.
func (t *Topic) End(context.Context) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(len(t.records)), t.Fail
}

// Read returns the records from an offset on at once.
func (t *Topic) Read(_ context.Context, from int64, _ time.Duration, _ func()) ([]keyedlog.Record, int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.records[from:]), int64(len(t.records)), t.Fail
}

// Append adds records, unless a higher epoch of the producer was seen.
func (t *Topic) Append(_ context.Context, fence keyedlog.Fence, records ...keyedlog.Record) error {
	if t.Gate != nil {
		<-t.Gate
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appends++
	if t.Fail != nil {
		return t.Fail
	}
	if fence.Epoch < t.epochs[fence.Producer] {
		return keyedlog.ErrFenced
	}
	t.epochs[fence.Producer] = fence.Epoch
	for _, r := range records {
		r.Offset = int64(len(t.records))
		t.records = append(t.records, r)
	}
	if t.Lose {
		return errors.New("answer lost")
	}
	return nil
}
