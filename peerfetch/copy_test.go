package peerfetch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/keyedlog"
)

func record(key string, offset int64) keyedlog.Record {
	return keyedlog.Record{Key: key, Value: []byte(key), Offset: offset}
}

// A deletion that a peer doesn't pass on would leave a withdrawn key in force.
func TestDeletionsAreServed(t *testing.T) {
	is := is.New(t)
	c := NewReplica(bubbleClock{})
	c.Reset([]keyedlog.Record{record("a", 3), record("b", 4)}, 5)
	c.Extend(5, []keyedlog.Record{{Key: "a", Offset: 5, Deleted: true}, record("b", 6)}, 7)
	reply := c.Handle(t.Context(), Request{From: 5, End: 7})
	is.Equal(reply, Reply{Records: []keyedlog.Record{{Key: "a", Offset: 5, Deleted: true}, record("b", 6)}, Next: 7})
	is.Equal(c.Handle(t.Context(), Request{From: -1, End: 7}), Reply{Records: []keyedlog.Record{record("b", 6)}, Next: 7})
}

// What was deleted before a copy began isn't known to it; a node that was further behind must
// begin anew.
func TestRequestBeforeReplicaStartIsIncomplete(t *testing.T) {
	is := is.New(t)
	c := NewReplica(bubbleClock{})
	c.Reset([]keyedlog.Record{record("b", 4)}, 5)
	is.True(c.Handle(t.Context(), Request{From: 3, End: 5}).Incomplete)
	is.True(!c.Handle(t.Context(), Request{From: 5, End: 5}).Incomplete)
}

// A reading that took long must not take a copy back, and one with a gap must not extend it.
func TestReplicaNeverGoesBackwards(t *testing.T) {
	is := is.New(t)
	c := NewReplica(bubbleClock{})
	c.Extend(0, []keyedlog.Record{record("a", 0)}, 1)
	is.True(c.Handle(t.Context(), Request{End: 1}).Behind)
	c.Reset([]keyedlog.Record{record("a", 7)}, 8)
	c.Reset([]keyedlog.Record{record("a", 3)}, 4)
	c.Extend(9, []keyedlog.Record{record("a", 9)}, 10)
	c.Extend(2, []keyedlog.Record{record("a", 2)}, 3)
	is.Equal(c.Handle(t.Context(), Request{From: -1, End: 8}), Reply{Records: []keyedlog.Record{record("a", 7)}, Next: 8})
}

// A peer that hasn't read far enough answers as soon as it has, and says so if it takes long.
func TestHandleWaitsForMissingRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewReplica(bubbleClock{})
		c.Reset(nil, 1)
		begun := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { c.Extend(1, []keyedlog.Record{record("a", 1)}, 2) })
		is.Equal(len(c.Handle(t.Context(), Request{From: 1, End: 2, WaitMs: 250}).Records), 1)
		is.Equal(time.Since(begun), 100*time.Millisecond)
		is.True(c.Handle(t.Context(), Request{From: 2, End: 3, WaitMs: 250}).Behind)
		is.Equal(time.Since(begun), 350*time.Millisecond)
	})
}

// The store turns a peer away again and again. Its refusals are no records on their way; those
// who wait for them stay behind with it.
func TestFailedReadIsNotReceiving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewReplica(bubbleClock{})
		c.Reset(nil, 1)
		_, _, err := c.receive(func() {}, func(progress func()) ([]keyedlog.Record, int64, error) {
			progress()
			return nil, 0, context.DeadlineExceeded
		})
		is.True(err != nil)
		_, _, _ = c.receive(func() {}, func(func()) ([]keyedlog.Record, int64, error) {
			is.True(!c.Handle(t.Context(), Request{From: 1, End: 2}).Receiving)
			return nil, 0, context.DeadlineExceeded
		}) // fails on purpose
	})
}
