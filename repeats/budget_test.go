package repeats

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderpin.dev/lavenderpin/bootclock"
)

var testLimits = Limits{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}

// Every engine fails. Without a limit each request would be retried again and again, and the load
// would double just when capacity is scarcest.
func TestRetriesStayWithinFleetBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 7
		clock := &bootclock.Fake{}
		var budgets []*Budget
		for range nodes {
			budgets = append(budgets, NewBudget(testLimits, clock))
		}
		var requests, retries []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			b.RecordRequest()
			requests = append(requests, clock.Now())
			for b.TryRetry(nodes) {
				retries = append(retries, clock.Now())
			}
			from := clock.Now() - testLimits.Window
			allowed := testLimits.Ratio*float64(countAfter(requests, from)) + testLimits.Extra
			if got := float64(countAfter(retries, from)); got > allowed {
				t.Fatalf("%v retries in a window that allows %v", got, allowed)
			}
		}
	})
}

func countAfter(times []time.Duration, from time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from {
			n++
		}
	}
	return n
}

// An exhausted budget must be available again after a window without retries.
func TestBudgetRefillsAfterWindow(t *testing.T) {
	is := is.New(t)
	clock := &bootclock.Fake{}
	b := NewBudget(testLimits, clock)
	for b.TryRetry(1) {
	}
	is.True(!b.TryRetry(1))
	clock.Advance(testLimits.Window + time.Second)
	is.True(b.TryRetry(1))
}
