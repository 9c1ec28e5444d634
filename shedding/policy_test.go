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

// One upstream of several is slow. Rejecting prompts because of it would keep callers from the
// others, which are free.
func TestOneSlowUpstreamDoesNotShed(t *testing.T) {
	is := is.New(t)
	is.True(DefaultPolicy().Admit(MedianWait(seconds(9, 0.1, 0.2, 0)), objective, 1))
	is.True(DefaultPolicy().Admit(MedianWait(nil), objective, 1))
}

// Most upstreams are slow under overload. The longer the wait, the fewer prompts are admitted, but
// never none: without any, the node couldn't detect the end of the overload.
func TestAdmittedShareFallsWithWait(t *testing.T) {
	is := is.New(t)
	admitted := func(wait float64) int {
		n := 0
		for random := 0.0; random < 1; random += 0.001 {
			if DefaultPolicy().Admit(MedianWait(seconds(wait, wait, wait)), objective, random) {
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

// A thousand callers are rejected within a second. With the same retry delay, they would cause the
// next overload.
func TestRetryDelaysAreSpread(t *testing.T) {
	is := is.New(t)
	p := DefaultPolicy()
	is.Equal(p.RetryAfter(0), p.MinRetryDelay)
	is.Equal(p.RetryAfter(1)-p.RetryAfter(0), p.RetryJitter)
}

// A route without an objective never sheds, however long the waits are.
func TestNoObjectiveNeverSheds(t *testing.T) {
	is := is.New(t)
	is.True(DefaultPolicy().Admit(MedianWait(seconds(9, 9)), 0, 1))
}
