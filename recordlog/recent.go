package recordlog

import (
	"sync"

	"lavenderpin.dev/lavenderpin/ports"
)

const (
	// recentRecords and recentBytes bound what a node keeps for others. One that
	// lags further reads the log itself.
	recentRecords = 4096
	recentBytes   = 8 << 20
)

// RecentRecords holds the records that a follower folded last, so that other nodes can
// read them from this one. It is safe for concurrent use.
type RecentRecords struct {
	mu      sync.Mutex
	records []ports.Record
	bytes   int
	next    uint64
	grown   chan struct{}
}

func newRecent(next uint64) *RecentRecords {
	return &RecentRecords{next: next, grown: make(chan struct{})}
}

// add takes the record that was folded after those held.
func (r *RecentRecords) add(record ports.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	for len(r.records) > recentRecords || r.bytes > recentBytes {
		r.bytes -= len(r.records[0].Data)
		r.records[0].Data = nil
		r.records = r.records[1:]
	}
	r.move(record.Offset + 1)
}

// restart forgets all records: those held aren't followed by the next one.
func (r *RecentRecords) restart(next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = nil
	r.bytes = 0
	r.move(next)
}

func (r *RecentRecords) move(next uint64) {
	r.next = next
	close(r.grown)
	r.grown = make(chan struct{})
}

// Read returns up to max records from an offset on without waiting; grown is
// closed once there are more. It fails with ports.ErrAgedOut when from isn't
// held any more.
func (r *RecentRecords) Read(from uint64, max int) (slice ports.ReadResult, grown <-chan struct{}, err error) {
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
	// The ring is cut and appended to later; its records never change.
	slice.Records = append([]ports.Record(nil), slice.Records...)
	return slice, r.grown, nil
}
