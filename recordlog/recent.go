package recordlog

import (
	"sync"

	"lavenderpin.dev/lavenderpin/ports"
)

const (
	// maxRecentRecords and maxRecentBytes bound the records that a node keeps for other
	// nodes. A node that lags further behind reads the log itself.
	maxRecentRecords = 4096
	maxRecentBytes   = 8 << 20
)

// RecentRecords holds the records that a follower applied last, so that other nodes can
// read them from this one. It is safe for concurrent use.
type RecentRecords struct {
	mu       sync.Mutex
	records  []ports.Record
	bytes    int
	next     uint64
	appended chan struct{}
}

func newRecent(next uint64) *RecentRecords {
	return &RecentRecords{next: next, appended: make(chan struct{})}
}

// add appends the next record and drops the oldest ones beyond the bounds.
func (r *RecentRecords) add(record ports.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	for len(r.records) > maxRecentRecords || r.bytes > maxRecentBytes {
		r.bytes -= len(r.records[0].Data)
		r.records[0].Data = nil
		r.records = r.records[1:]
	}
	r.advance(record.Offset + 1)
}

// reset drops all records, since the one at next doesn't directly follow them.
func (r *RecentRecords) reset(next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = nil
	r.bytes = 0
	r.advance(next)
}

func (r *RecentRecords) advance(next uint64) {
	r.next = next
	close(r.appended)
	r.appended = make(chan struct{})
}

// Read returns up to max records from an offset on without waiting; appended is closed
// once there are more. It fails with ports.ErrAgedOut when the record at from is no
// longer held.
func (r *RecentRecords) Read(from uint64, max int) (slice ports.ReadResult, appended <-chan struct{}, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slice = ports.ReadResult{Oldest: r.next, Next: r.next}
	if len(r.records) > 0 {
		slice.Oldest = r.records[0].Offset
	}
	if from < slice.Oldest {
		return slice, nil, ports.ErrAgedOut
	}
	for i := len(r.records); i > 0 && r.records[i-1].Offset >= from; i-- {
		slice.Records = r.records[i-1:]
	}
	if len(slice.Records) > max {
		slice.Records = slice.Records[:max]
	}
	// The buffer is trimmed and appended to later; its records never change.
	slice.Records = append([]ports.Record(nil), slice.Records...)
	return slice, r.appended, nil
}
