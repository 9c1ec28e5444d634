package admission

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

// unknownUpstreams say nothing of themselves.
type unknownUpstreams struct{}

func (unknownUpstreams) Pressure(string) (here, elsewhere routing.Pressure) { return here, elsewhere }

func (unknownUpstreams) LimitLocal(string, int) {}

func newTestController() (*Controller, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(start)
	settings := func(string) Settings {
		s := DefaultSettings(1)
		s.BelowShareReserve = 0
		return s
	}
	return NewController(clock, settings, unknownUpstreams{}), clock
}

// awaitWaiting returns once a request waits in the controller.
func awaitWaiting(c *Controller) {
	for c.Status()["chat"].Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestReleasedSlotGoesToNextRequest(t *testing.T) {
	is := is.New(t)
	c, _ := newTestController()
	release, err := c.Admit(t.Context(), request("a", "x"))
	is.NoErr(err)
	done := make(chan error)
	go func() {
		_, err := c.Admit(t.Context(), request("a", "x"))
		done <- err
	}()
	awaitWaiting(c)
	release()
	release() // a second release must not free another slot
	is.NoErr(<-done)
	is.Equal(c.Status()["chat"].InFlight, 1)
}

// A caller leaves while its request waits. Its place must not be given a slot that
// nobody would ever release.
func TestCanceledRequestGetsNoSlot(t *testing.T) {
	is := is.New(t)
	c, _ := newTestController()
	release, err := c.Admit(t.Context(), request("a", "x"))
	is.NoErr(err)
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := c.Admit(ctx, request("a", "x"))
		done <- err
	}()
	awaitWaiting(c)
	leave()
	is.Equal(result.CodeOf(<-done), result.CallerGone)
	release()
	is.Equal(c.Status()["chat"].InFlight, 0)
}

// No slot comes free. The caller must be told as soon as its longest wait has passed.
func TestWaitEndsAtMaxWait(t *testing.T) {
	is := is.New(t)
	c, clock := newTestController()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Run(ctx)
	is.NoErr(clock.BlockUntilContext(ctx, 2))
	_, err := c.Admit(ctx, request("a", "x"))
	is.NoErr(err)
	done := make(chan error)
	go func() {
		_, err := c.Admit(ctx, request("a", "x"))
		done <- err
	}()
	awaitWaiting(c)
	for {
		clock.Advance(expireEvery)
		select {
		case err := <-done:
			is.Equal(result.CodeOf(err), result.Overloaded)
			return
		case <-time.After(time.Millisecond):
		}
	}
}
