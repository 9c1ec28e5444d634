package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func steady() uint64 { return 0 }

func tripped() *Breaker {
	b := NewBreaker(steady, nil)
	for range tripAfter {
		b.RecordFailure(start, false, false)
	}
	return b
}

// An engine fails every request. Callers would wait for an attempt there each time,
// so it gets none until its pause is over, and then one at a time.
func TestFailingUpstreamGetsOnlyProbes(t *testing.T) {
	is := is.New(t)
	b := tripped()
	is.True(!b.IsClosed())
	is.True(!b.MayProbe(start.Add(firstPause - 1)))
	later := start.Add(firstPause)
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

// An engine answers now and then but mostly fails. Let in and out every few seconds
// it would hurt callers again each time, so its pauses grow until it has been good
// for a while.
func TestOpenDurationGrowsWhenFlapping(t *testing.T) {
	is := is.New(t)
	b := tripped()
	now := start
	for pause := 2 * firstPause; pause <= longestPause; pause *= 2 {
		now = now.Add(longestPause)
		is.True(b.BeginProbe())
		b.RecordFailure(now, true, false)
		is.True(!b.MayProbe(now.Add(pause - 1)))
		is.True(b.MayProbe(now.Add(pause)))
	}
}

// An engine hands out another caller's answer. One is enough to stop using it.
func TestCriticalFailureOpensImmediately(t *testing.T) {
	is := is.New(t)
	b := NewBreaker(steady, nil)
	b.RecordFailure(start, false, true)
	is.Equal(b.State(), Open)
}

func TestOccasionalFailuresDoNotOpen(t *testing.T) {
	is := is.New(t)
	b := NewBreaker(steady, nil)
	for range 100 {
		b.RecordFailure(start, false, false)
		b.RecordSuccess(start, false)
		b.RecordSuccess(start, false)
	}
	is.True(b.IsClosed())
}
