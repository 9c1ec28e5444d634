package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func noJitter() uint64 { return 0 }

func openBreaker() *Breaker {
	b := NewBreaker(noJitter, nil)
	for range maxConsecutiveFailures {
		b.RecordFailure(start, false, false)
	}
	return b
}

// An engine fails every request. Each attempt there would delay a caller, so it gets none until
// the open period ends, and then one probe at a time.
func TestFailingUpstreamGetsOnlyProbes(t *testing.T) {
	is := is.New(t)
	b := openBreaker()
	is.True(!b.IsClosed())
	is.True(!b.MayProbe(start.Add(minOpenDuration - 1)))
	later := start.Add(minOpenDuration)
	is.True(b.MayProbe(later))
	is.True(b.BeginProbe())
	is.True(!b.MayProbe(later))
	is.True(!b.BeginProbe())
	b.RecordSuccess(later, true)
	is.Equal(b.State(), HalfOpen)
	is.True(b.BeginProbe())
	b.RecordSuccess(later, true)
	is.True(b.IsClosed())
}

// An engine mostly fails but sometimes answers. If the breaker flapped every few seconds, callers
// would see failures each time, so the open periods grow until the breaker has stayed closed
// for a while.
func TestOpenDurationGrowsWhenFlapping(t *testing.T) {
	is := is.New(t)
	b := openBreaker()
	now := start
	for duration := 2 * minOpenDuration; duration <= maxOpenDuration; duration *= 2 {
		now = now.Add(maxOpenDuration)
		is.True(b.BeginProbe())
		b.RecordFailure(now, true, false)
		is.True(!b.MayProbe(now.Add(duration - 1)))
		is.True(b.MayProbe(now.Add(duration)))
	}
}

// An engine returns another caller's answer. One such answer opens the breaker.
func TestCriticalFailureOpensImmediately(t *testing.T) {
	is := is.New(t)
	b := NewBreaker(noJitter, nil)
	b.RecordFailure(start, false, true)
	is.Equal(b.State(), Open)
}

func TestOccasionalFailuresDoNotOpen(t *testing.T) {
	is := is.New(t)
	b := NewBreaker(noJitter, nil)
	for range 100 {
		b.RecordFailure(start, false, false)
		b.RecordSuccess(start, false)
		b.RecordSuccess(start, false)
	}
	is.True(b.IsClosed())
}
