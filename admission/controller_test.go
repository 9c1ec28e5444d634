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

// silentUpstreams reports no load.
type silentUpstreams struct{}

func (silentUpstreams) Pressure(string) (local, remote routing.Pressure) { return local, remote }

func (silentUpstreams) LimitLocal(string, int) {}

func newTestController() (*Controller, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(start)
	settings := func(string) Settings {
		s := DefaultSettings(1)
		s.BelowShareReserve = 0
		return s
	}
	return NewController(clock, settings, silentUpstreams{}), clock
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

// A caller cancels while its request waits. The request must not be given a slot, which nobody
// would ever release.
func TestCanceledRequestGetsNoSlot(t *testing.T) {
	is := is.New(t)
	c, _ := newTestController()
	release, err := c.Admit(t.Context(), request("a", "x"))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := c.Admit(ctx, request("a", "x"))
		done <- err
	}()
	awaitWaiting(c)
	cancel()
	is.Equal(result.CodeOf(<-done), result.CallerGone)
	release()
	is.Equal(c.Status()["chat"].InFlight, 0)
}

// No slot becomes free. The caller must get its refusal as soon as MaxWait has passed.
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
		clock.Advance(expireInterval)
		select {
		case err := <-done:
			is.Equal(result.CodeOf(err), result.Overloaded)
			return
		case <-time.After(time.Millisecond):
		}
	}
}
