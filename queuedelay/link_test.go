package queuedelay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeCounter is a Counter that tests advance.
type fakeCounter struct{ received, sent int64 }

func (c *fakeCounter) Received() int64 { return c.received }
func (c *fakeCounter) Sent() int64     { return c.sent }

// Guards against a full link that looks like an idle one, and against one that looks full for longer than it is.
func TestUseFollowsTheBusierDirection(t *testing.T) {
	is := is.New(t)
	counter := &fakeCounter{received: 5_000_000}
	l, now := NewLink(counter, 8), time.Hour // 1 MB a second
	l.Sample(now)
	is.Equal(l.Use(), 0.0) // what was before says nothing
	pass := func(ticks int, in, out int64) {
		for range ticks {
			now += 100 * time.Millisecond
			counter.received, counter.sent = counter.received+in, counter.sent+out
			l.Sample(now)
		}
	}
	pass(20, 100_000, 20_000)
	is.True(l.Use() > 0.95 && l.Use() <= 1.01)
	pass(1, 0, 0)
	is.True(l.Use() > 0.6) // one quiet moment
	pass(9, 0, 0)
	is.True(l.Use() < 0.1)
	pass(20, 0, 50_000)
	is.True(l.Use() > 0.45 && l.Use() < 0.55)
	l.Sample(now) // twice at one time
	is.True(l.Use() > 0.45 && l.Use() < 0.55)
	is.Equal(NewLink(counter, 0).Use(), 0.0) // of unknown speed
}
