package fake

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/ports"
)

// ArchivedRecord is a record with the moment at which the log took it.
type ArchivedRecord struct {
	ports.Record
	At time.Time
}

// Archive is a log that remembers every record, also those that the log itself no
// longer keeps, so that a history can be judged from its beginning.
type Archive struct {
	ports.Log

	mu      sync.Mutex
	clock   clockwork.Clock
	records []ArchivedRecord
	grown   chan struct{}
}

// NewArchive returns an archive before a log of one stream.
func NewArchive(log ports.Log, clock clockwork.Clock) *Archive {
	return &Archive{Log: log, clock: clock, grown: make(chan struct{})}
}

// Append implements ports.Log.
func (a *Archive) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	offset, err := a.Log.Append(ctx, stream, data)
	if err != nil {
		return offset, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records = append(a.records, ArchivedRecord{ports.Record{Offset: offset, Data: append([]byte(nil), data...)}, a.clock.Now()})
	close(a.grown)
	a.grown = make(chan struct{})
	return offset, nil
}

// NextAppend returns a channel that is closed with the next record.
func (a *Archive) NextAppend() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grown
}

// Records returns all records in offset order.
func (a *Archive) Records() []ArchivedRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	records := append([]ArchivedRecord(nil), a.records...)
	sort.Slice(records, func(i, j int) bool { return records[i].Offset < records[j].Offset })
	return records
}
