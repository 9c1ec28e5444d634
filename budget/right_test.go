package budget

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/result"
)

// suspendedClock is the clock of a machine whose monotonic time stood still while
// it was suspended, or whose wall clock was set back.
type suspendedClock struct {
	*clockwork.FakeClock
	missed, setBack time.Duration
}

func (c *suspendedClock) Since(t time.Time) time.Duration {
	return c.FakeClock.Since(t) - c.missed
}

func (c *suspendedClock) Now() time.Time { return c.FakeClock.Now().Add(-c.setBack) }

func newSuspendedHolder() (*ShareHolder, *suspendedClock) {
	clock := &suspendedClock{FakeClock: clockwork.NewFakeClock()}
	h := NewShareHolder("n", clock)
	h.ExtendRight(clock.Now().Add(time.Hour))
	h.Credit("b", 100)
	return h, clock
}

// An instance is suspended for two hours and resumed; its monotonic clock counted
// none of it. The fleet has given its share to others, so spending it again would
// put the account above its budget.
func TestRightEndsWhileSuspended(t *testing.T) {
	is := is.New(t)
	h, clock := newSuspendedHolder()
	clock.Advance(2 * time.Hour)
	clock.missed = 2 * time.Hour
	_, err := h.Reserve("b", 1)
	is.Equal(result.CodeOf(err), result.SpendRightLapsed)
}

// Somebody sets the wall clock back by a day. The right must end all the same.
func TestRightEndsWhenWallClockIsSetBack(t *testing.T) {
	is := is.New(t)
	h, clock := newSuspendedHolder()
	clock.setBack = 24 * time.Hour
	clock.Advance(2 * time.Hour)
	_, err := h.Reserve("b", 1)
	is.Equal(result.CodeOf(err), result.SpendRightLapsed)
}

// A node learns that it is closed, and then the verdict on an older heartbeat comes
// in. That must not bring its right back.
func TestRevokedRightStaysRevoked(t *testing.T) {
	is := is.New(t)
	h, clock := newSuspendedHolder()
	h.RevokeRight()
	h.ExtendRight(clock.Now().Add(2 * time.Hour))
	_, err := h.Reserve("b", 1)
	is.Equal(result.CodeOf(err), result.SpendRightLapsed)
}

// Guards against a request that carries a later end than the right of a lender that pays
// for a part of it.
func TestNotAfterIsEarliestEndOfRights(t *testing.T) {
	is := is.New(t)
	h, clock := newSuspendedHolder()
	own, err := h.Reserve("b", 10)
	is.NoErr(err)
	part := &borrowedPart{right: newSpendRight(clock)}
	part.right.extend(clock.Now().Add(time.Minute))
	is.True((&grant{own: own}).NotAfter().Equal(clock.Now().Add(time.Hour)))
	is.True((&grant{own: own, parts: []*borrowedPart{part}}).NotAfter().Equal(clock.Now().Add(time.Minute)))
	clock.Advance(2 * time.Minute)
	is.True((&grant{own: own, parts: []*borrowedPart{part}}).NotAfter().Before(clock.Now()))
}
