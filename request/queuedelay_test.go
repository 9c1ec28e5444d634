package request

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

func newDelayedServer(delay *time.Duration) *Server {
	clock := clockwork.NewFakeClock()
	return &Server{Clock: clock, QueueDelay: func() time.Duration { return *delay },
		Events: event.NewRecorder(event.NewHLC(clock), "n", 16, log.NewNopLogger())}
}

// Guards against a node short of processor time or link that reads and runs requests which it answers too late.
func TestRequestThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	const timeout = time.Second
	delay := time.Duration(0)
	s := newDelayedServer(&delay)
	refused := func() (n int) {
		for range 1000 {
			if err := s.RefuseLate(timeout); err != nil {
				is.Equal(result.CodeOf(err), result.NodeBusy)
				is.True(result.From(err).NotRun())
				n++
			}
		}
		return n
	}
	is.Equal(refused(), 0)
	delay = timeout / 2
	is.Equal(refused(), 0)
	delay = timeout
	some := refused()
	is.True(some > 800 && some < 950) // seven in eight
	delay = 10 * timeout
	is.True(refused() > 990)
	is.NoErr(s.RefuseLate(0)) // without a timeout nothing is late
	is.NoErr((&Server{}).RefuseLate(timeout))
}

// Guards against a timeout that begins when a node has time for the request.
func TestWaitInQueuesIsTakenOffTheTimeout(t *testing.T) {
	is := is.New(t)
	delay := 300 * time.Millisecond
	s := newDelayedServer(&delay)
	ctx, done := s.withTimeout(context.Background(), time.Second)
	defer done()
	deadline, limited := ctx.Deadline()
	is.True(limited)
	is.Equal(deadline.Sub(s.Clock.Now()), 700*time.Millisecond)
	delay = 2 * time.Second
	ended, done := s.withTimeout(context.Background(), time.Second)
	defer done()
	<-ended.Done()
	is.Equal(result.CodeOf(contextError(ended)), result.DeadlineExceeded)
}
