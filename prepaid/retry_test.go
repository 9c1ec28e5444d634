package prepaid

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that come back while no grant can have arrived: they are refused again
// and have used up their retries when the store is back.
func TestCallersReturnOnceAGrantMayHaveArrived(t *testing.T) {
	is := is.New(t)
	// The store is away for eight seconds, and callers come evenly in between.
	const outage, step = 8 * time.Second, 10 * time.Millisecond
	refusedAgain := func(s Shortage) (fraction float64) {
		refused, callers := 0, 0
		for at := time.Duration(0); at < outage; at += step {
			for _, random := range []float64{0, 0.25, 0.5, 0.75, 1} {
				callers++
				if at+s.RetryAfter(random) < outage {
					refused++
				}
			}
		}
		return float64(refused) / float64(callers)
	}
	is.True(refusedAgain(Shortage{Asked: true, Partitioned: true}) <= 0.65)
	is.True(refusedAgain(Shortage{Asked: true}) >= 0.85) // what it was with a delay for every case
}

// Guards against callers that were refused together and come back together.
func TestRetriesAreSpread(t *testing.T) {
	is := is.New(t)
	for _, s := range []Shortage{{}, {Asked: true}, {Asked: true, Partitioned: true}, {Partitioned: true}} {
		is.True(s.RetryAfter(0) > 0)
		is.True(s.RetryAfter(1)-s.RetryAfter(0) >= s.RetryAfter(0.5)/2)
	}
}
