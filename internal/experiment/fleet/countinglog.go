package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/platform"
)

// countingLog counts what one node reads of the log and appends to it.
type countingLog struct {
	platform.Log
	bytes atomic.Int64
}

// Append implements platform.Log.
func (l *countingLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.bytes.Add(int64(len(data)))
	return l.Log.Append(ctx, stream, data)
}

// Read implements platform.Log.
func (l *countingLog) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (platform.Slice, error) {
	slice, err := l.Log.Read(ctx, stream, from, max, wait)
	for _, r := range slice.Records {
		l.bytes.Add(int64(len(r.Data)))
	}
	return slice, err
}
