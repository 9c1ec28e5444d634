// Package memtopic implements a keyed topic in memory for tests of topic readers and writers.
package memtopic

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

// Topic is a keyed topic with producer fencing. Its fields must not be set during a call.
type Topic struct {
	// Err, if set, is returned by every call.
	Err error
	// DropResponses makes appends take effect but return an error.
	DropResponses bool
	// AppendGate, if set, blocks appends until it is closed.
	AppendGate chan struct{}

	mu      sync.Mutex
	records []keyedlog.Record
	epochs  map[string]uint64
	appends int
}

// New returns an empty topic.
func New() *Topic { return &Topic{epochs: make(map[string]uint64)} }

// Appends returns how often Append was called, including calls that failed.
func (t *Topic) Appends() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.appends
}

// Len returns the number of records in the topic.
func (t *Topic) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Newest returns the newest record of each key that isn't deleted, and the end offset.
func (t *Topic) Newest(_ context.Context, progress func()) ([]keyedlog.Record, int64, error) {
	progress()
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := make(map[string]keyedlog.Record)
	for _, r := range t.records {
		newest[r.Key] = r
	}
	var live []keyedlog.Record
	for _, r := range newest {
		if !r.Deleted {
			live = append(live, r)
		}
	}
	return live, int64(len(t.records)), t.Err
}

// Probe returns Err at once.
func (t *Topic) Probe(context.Context) error { return t.Err }

// End returns the end offset.
func (t *Topic) End(context.Context) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(len(t.records)), t.Err
}

// Read returns the records from an offset on, without waiting.
func (t *Topic) Read(_ context.Context, from int64, _ time.Duration, _ func()) ([]keyedlog.Record, int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.records[from:]), int64(len(t.records)), t.Err
}

// Append appends records; it returns ErrFenced if it has seen a higher epoch of the producer.
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
		return errors.New("response dropped")
	}
	return nil
}
