package gather_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/internal/standin"
)

// delayedLog applies each append after a delay, even when the caller has given up by
// then, as when the sender is paused right before it sends.
type delayedLog struct {
	*standin.Log
	delay time.Duration
}

func (l *delayedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	done := make(chan error, 1)
	go func() {
		time.Sleep(l.delay)
		_, err := l.Log.Append(context.WithoutCancel(ctx), stream, data)
		done <- err
	}()
	select {
	case err := <-done:
		return 0, err
	case <-ctx.Done():
		return 0, errors.Trace(ctx.Err())
	}
}

// faultyLog loses appends and responses, and applies some appends seconds later.
type faultyLog struct {
	*standin.Log
	mu     sync.Mutex
	random *rand.Rand
}

func (l *faultyLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	switch l.randomBelow(6) {
	case 0:
		return 0, errors.New("request lost")
	case 1:
		_, _ = l.Log.Append(ctx, stream, data)
		return 0, errors.New("response lost")
	case 2:
		delayed := delayedLog{l.Log, time.Duration(l.randomBelow(10_000)) * time.Millisecond}
		return delayed.Append(ctx, stream, data)
	case 3:
		_, _ = l.Log.Append(ctx, stream, data)
		<-ctx.Done()
		return 0, errors.Trace(ctx.Err())
	default:
		return l.Log.Append(ctx, stream, data)
	}
}

func (l *faultyLog) randomBelow(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(n)
}

// batchOf returns a marshalled batch of about size bytes.
func batchOf(t *testing.T, writer string, size int) []byte {
	t.Helper()
	data, err := proto.Marshal(&recordv1.Batch{Writer: writer, Seq: 1, Entries: []*recordv1.Entry{{Body: &recordv1.Entry_Snapshot{
		Snapshot: &recordv1.SnapshotChunk{Data: make([]byte, size)}}}}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}
