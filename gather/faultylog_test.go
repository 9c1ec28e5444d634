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

// heldLog lets each append take effect only after a while, also when whoever asked
// has gone: the sender was paused right before it left.
type heldLog struct {
	*standin.Log
	hold time.Duration
}

func (l *heldLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	done := make(chan error, 1)
	go func() {
		time.Sleep(l.hold)
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

// faultyLog loses answers, loses appends, and lets some take effect seconds later.
type faultyLog struct {
	*standin.Log
	mu     sync.Mutex
	random *rand.Rand
}

func (l *faultyLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	switch l.draw(6) {
	case 0:
		return 0, errors.New("never arrived")
	case 1:
		_, _ = l.Log.Append(ctx, stream, data)
		return 0, errors.New("the answer was lost")
	case 2:
		held := heldLog{l.Log, time.Duration(l.draw(10_000)) * time.Millisecond}
		return held.Append(ctx, stream, data)
	case 3:
		_, _ = l.Log.Append(ctx, stream, data)
		<-ctx.Done()
		return 0, errors.Trace(ctx.Err())
	default:
		return l.Log.Append(ctx, stream, data)
	}
}

func (l *faultyLog) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(n)
}

// batchOf returns a marshalled batch of about so many bytes.
func batchOf(t *testing.T, writer string, size int) []byte {
	t.Helper()
	data, err := proto.Marshal(&recordv1.Batch{Writer: writer, Seq: 1, Entries: []*recordv1.Entry{{Body: &recordv1.Entry_Snapshot{
		Snapshot: &recordv1.SnapshotChunk{Data: make([]byte, size)}}}}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}
