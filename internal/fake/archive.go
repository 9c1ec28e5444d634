package fake

import (
	"context"
	"sort"
	"sync"

	"lavenderpin.dev/lavenderpin/platform"
)

// Archive is a log that remembers every record, also those that the log itself no
// longer keeps, so that a history can be judged from its beginning.
type Archive struct {
	platform.Log

	mu      sync.Mutex
	records []platform.Record
}

// NewArchive returns an archive before a log of one stream.
func NewArchive(log platform.Log) *Archive { return &Archive{Log: log} }

// Append implements platform.Log.
func (a *Archive) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	offset, err := a.Log.Append(ctx, stream, data)
	if err != nil {
		return offset, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records = append(a.records, platform.Record{Offset: offset, Data: append([]byte(nil), data...)})
	return offset, nil
}

// Records returns all records in offset order.
func (a *Archive) Records() []platform.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	records := append([]platform.Record(nil), a.records...)
	sort.Slice(records, func(i, j int) bool { return records[i].Offset < records[j].Offset })
	return records
}
