package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/ports"
)

// countingLog counts the bytes that one node reads from and appends to the log, and
// delays both.
type countingLog struct {
	ports.Log
	bytes atomic.Int64
	// delay is the one-way latency to the log.
	delay time.Duration
	// changeReads records what is read over the link; nil for nodes in the log's region.
	changeReads *changeReads
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
	result, err := l.Log.Read(ctx, stream, from, max, wait)
	time.Sleep(l.delay)
	for _, r := range result.Records {
		l.bytes.Add(int64(len(r.Data)))
		l.changeReads.record(r.Data)
	}
	return result, err
}
