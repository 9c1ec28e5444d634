package shedding

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const objective = time.Second

func seconds(s ...float64) []time.Duration {
	var waits []time.Duration
	for _, x := range s {
		waits = append(waits, time.Duration(x*float64(time.Second)))
	}
	return waits
}

// One upstream of several is late. Refusing for it would turn callers away from the others,
// which are free.
func TestOneSlowUpstreamDoesNotShed(t *testing.T) {
	is := is.New(t)
	is.True(DefaultPolicy().Admit(MedianWait(seconds(9, 0.1, 0.2, 0)), objective, 1))
	is.True(DefaultPolicy().Admit(MedianWait(nil), objective, 1))
}

// Most upstreams are late under a crowd. The later they are, the fewer are let in, and some
// always are: without them nobody would notice that the crowd is over.
func TestAdmittedShareFallsWithWait(t *testing.T) {
	is := is.New(t)
	admitted := func(wait float64) int {
		n := 0
		for draw := 0.0; draw < 1; draw += 0.001 {
			if DefaultPolicy().Admit(MedianWait(seconds(wait, wait, wait)), objective, draw) {
				n++
			}
		}
		return n
	}
	is.Equal(admitted(0.5), 1000)
	is.True(admitted(0.7) < 1000)
	is.True(admitted(1) < admitted(0.7))
	is.True(admitted(4) > 0)
}

// A thousand callers are refused within a second. Told to return together, they would be the
// next crowd.
func TestRetryDelaysAreSpread(t *testing.T) {
	is := is.New(t)
	p := DefaultPolicy()
	is.Equal(p.RetryAfter(0), p.MinRetryDelay)
	is.Equal(p.RetryAfter(1)-p.RetryAfter(0), p.RetryJitter)
}

// A route without an objective is never late.
func TestNoObjectiveNeverSheds(t *testing.T) {
	is := is.New(t)
	is.True(DefaultPolicy().Admit(MedianWait(seconds(9, 9)), 0, 1))
}
