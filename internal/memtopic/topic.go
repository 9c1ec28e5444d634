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
	// Err makes every call fail.
	Err error
	// DropResponses makes appends take effect and fail.
	DropResponses bool
	// AppendGate, where set, holds appends up until it is closed.
	AppendGate chan struct{}

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
	return out, int64(len(t.records)), t.Err
}

// Probe answers at once.
func (t *Topic) Probe(context.Context) error { return t.Err }

// End returns how many records were appended.
func (t *Topic) End(context.Context) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(len(t.records)), t.Err
}

// Read returns the records from an offset on at once.
func (t *Topic) Read(_ context.Context, from int64, _ time.Duration, _ func()) ([]keyedlog.Record, int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.records[from:]), int64(len(t.records)), t.Err
}

// Append adds records, unless a higher epoch of the producer was seen.
func (t *Topic) Append(_ context.Context, fence keyedlog.Fence, records ...keyedlog.Record) error {
	if t.AppendGate != nil {
		<-t.AppendGate
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appends++
	if t.Err != nil {
		return t.Err
	}
	if fence.Epoch < t.epochs[fence.Producer] {
		return keyedlog.ErrFenced
	}
	t.epochs[fence.Producer] = fence.Epoch
	for _, r := range records {
		r.Offset = int64(len(t.records))
		t.records = append(t.records, r)
	}
	if t.DropResponses {
		return errors.New("answer lost")
	}
	return nil
}
