package repeats

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderpin.dev/lavenderpin/bootclock"
)

var testLimits = Limits{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}

// Every engine fails. Without a bound each request would be sent again and again, and
// the load would double just when there is least to spare.
func TestRetriesStayWithinFleetBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 7
		clock := &bootclock.Fake{}
		var budgets []*Budget
		for range nodes {
			budgets = append(budgets, NewBudget(testLimits, clock))
		}
		var requests, repeats []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			b.RecordRequest()
			requests = append(requests, clock.Now())
			for b.TryRetry(nodes) {
				repeats = append(repeats, clock.Now())
			}
			from := clock.Now() - testLimits.Window
			allowed := testLimits.Ratio*float64(after(requests, from)) + testLimits.Extra
			if got := float64(after(repeats, from)); got > allowed {
				t.Fatalf("%v repeats in a window that allows %v", got, allowed)
			}
		}
	})
}

func after(times []time.Duration, from time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from {
			n++
		}
	}
	return n
}

// A window without failures must not be lost: the budget is there again after it.
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
