package peerfetch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/bubble"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

func record(key string, offset int64) keyedlog.Record {
	return keyedlog.Record{Key: key, Value: []byte(key), Offset: offset}
}

// If a peer did not pass a deletion on, a revoked key would stay in force.
func TestDeletionsAreServed(t *testing.T) {
	is := is.New(t)
	replica := NewReplica(synctestClock{})
	replica.Reset([]keyedlog.Record{record("a", 3), record("b", 4)}, 5)
	replica.Extend(5, []keyedlog.Record{{Key: "a", Offset: 5, Deleted: true}, record("b", 6)}, 7)
	reply := replica.Handle(t.Context(), Request{From: 5, End: 7})
	is.Equal(reply, Reply{Records: []keyedlog.Record{{Key: "a", Offset: 5, Deleted: true}, record("b", 6)}, Next: 7})
	is.Equal(replica.Handle(t.Context(), Request{From: -1, End: 7}), Reply{Records: []keyedlog.Record{record("b", 6)}, Next: 7})
}

// A replica does not know what was deleted before it started; a node that is further behind must
// start over.
func TestRequestBeforeReplicaStartIsIncomplete(t *testing.T) {
	is := is.New(t)
	replica := NewReplica(synctestClock{})
	replica.Reset([]keyedlog.Record{record("b", 4)}, 5)
	is.True(replica.Handle(t.Context(), Request{From: 3, End: 5}).Incomplete)
	is.True(!replica.Handle(t.Context(), Request{From: 5, End: 5}).Incomplete)
}

// A slow read must not move a replica back, and one with a gap must not extend it.
func TestReplicaNeverGoesBackwards(t *testing.T) {
	is := is.New(t)
	replica := NewReplica(synctestClock{})
	replica.Extend(0, []keyedlog.Record{record("a", 0)}, 1)
	is.True(replica.Handle(t.Context(), Request{End: 1}).Behind)
	replica.Reset([]keyedlog.Record{record("a", 7)}, 8)
	replica.Reset([]keyedlog.Record{record("a", 3)}, 4)
	replica.Extend(9, []keyedlog.Record{record("a", 9)}, 10)
	replica.Extend(2, []keyedlog.Record{record("a", 2)}, 3)
	is.Equal(replica.Handle(t.Context(), Request{From: -1, End: 8}), Reply{Records: []keyedlog.Record{record("a", 7)}, Next: 8})
}

// A peer that has not read far enough replies as soon as it has, or reports that it is behind.
func TestHandleWaitsForMissingRecords(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		replica := NewReplica(synctestClock{})
		replica.Reset(nil, 1)
		begun := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { replica.Extend(1, []keyedlog.Record{record("a", 1)}, 2) })
		is.Equal(len(replica.Handle(t.Context(), Request{From: 1, End: 2, WaitMs: 250}).Records), 1)
		is.Equal(time.Since(begun), 100*time.Millisecond)
		is.True(replica.Handle(t.Context(), Request{From: 2, End: 3, WaitMs: 250}).Behind)
		is.Equal(time.Since(begun), 350*time.Millisecond)
	})
}

// The store refuses a peer's reads repeatedly. They must not count as records on their way, or
// nodes that wait for them would stay behind with the peer.
func TestFailedReadIsNotReceiving(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		replica := NewReplica(synctestClock{})
		replica.Reset(nil, 1)
		_, _, err := replica.trackRead(false, func() {}, func(progress func()) ([]keyedlog.Record, int64, error) {
			progress()
			return nil, 0, context.DeadlineExceeded
		})
		is.True(err != nil)
		_, _, _ = replica.trackRead(false, func() {}, func(func()) ([]keyedlog.Record, int64, error) {
			is.True(!replica.Handle(t.Context(), Request{From: 1, End: 2}).Receiving)
			return nil, 0, context.DeadlineExceeded
		}) // fails on purpose
	})
}
