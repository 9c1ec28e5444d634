package peerfetch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/bubble"
	"lavenderpin.dev/lavenderpin/internal/memtopic"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// slowTransport replies late, as nodes do that are short of processor time.
type slowTransport struct {
	replicaTransport
	delay time.Duration
}

func (t slowTransport) Fetch(ctx context.Context, address string, req Request, progress func()) (Reply, error) {
	reply, err := t.replicaTransport.Fetch(ctx, address, req, progress)
	select {
	case <-time.After(t.delay):
		return reply, err
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
}

// Guards against reading from the store what peers have, because they are short of processor time and reply late.
func TestFetchesFromPeersThatReplyLate(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &countingTopic{Topic: memtopic.New()}
		appendRecord(t, store, "1")
		first := NewReplica(synctestClock{})
		first.Reset(nil, 0)
		first.Extend(0, []keyedlog.Record{record("config", 0)}, 1)
		n := newFourthNode(store, nil)
		n.Transport = slowTransport{replicaTransport{"n0": first}, 400 * time.Millisecond}
		records, _, err := n.Read(t.Context(), 0, time.Second, func() {})
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(store.read.Load(), int64(0))
	})
}
