package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
)

// Guards against taking an upstream for slow whose events wait for a slow caller, and against judging it by a few events.
func TestEventPaceIsTheUpstreams(t *testing.T) {
	is := is.New(t)
	u := &directory.Upstream{Stats: &directory.Stats{}}
	play := func(events int, interval, delivery time.Duration) {
		p, now := eventPace{}, time.Hour
		for i := range events {
			p.observe(u, now+time.Duration(i)*interval, time.Duration(i)*delivery)
		}
		p.record(u, time.Duration(events)*delivery)
	}
	play(1+paceWindow+minPaceEvents, 10*time.Millisecond, 0)
	mean, count := u.WorkTime()
	is.Equal(count, 2)
	is.Equal(mean, 1e7)
	play(minPaceEvents, time.Second, 0)                   // one interval too few
	play(1+paceWindow, time.Second, 200*time.Millisecond) // a slow caller
	_, count = u.WorkTime()
	is.Equal(count, 2)
}
