package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/ports"
)

// countingLog counts what one node reads of the log and appends to it.
type countingLog struct {
	ports.Log
	bytes atomic.Int64
	// delay is how far the log is, one way.
	delay time.Duration
	// crossings, when set, is told of what is read over the link.
	crossings *crossings
}

// Append implements ports.Log.
func (l *countingLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.bytes.Add(int64(len(data)))
	time.Sleep(l.delay)
	offset, err := l.Log.Append(ctx, stream, data)
	time.Sleep(l.delay)
	return offset, err
}

// Read implements ports.Log.
func (l *countingLog) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (ports.ReadResult, error) {
	time.Sleep(l.delay)
	slice, err := l.Log.Read(ctx, stream, from, max, wait)
	time.Sleep(l.delay)
	for _, r := range slice.Records {
		l.bytes.Add(int64(len(r.Data)))
		l.crossings.add(r.Data)
	}
	return slice, err
}
