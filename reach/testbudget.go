package reach

import (
	"sync"
	"time"
)

// testBudget bounds the rate of tests.
type testBudget struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Duration
}

// maxTests bounds the tests that may start at once.
const maxTests = 32

// refill adds what the time since the last refill allows, up to what a second does.
func (b *testBudget) refill(now time.Duration, s *Settings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := (now - b.refilledAt).Seconds(); b.tokens < s.TestsPerSecond {
		b.tokens = min(s.TestsPerSecond, b.tokens+elapsed*s.TestsPerSecond)
	}
	b.refilledAt = now
}

// allow adds tests.
func (b *testBudget) allow(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTests, b.tokens+n)
}

// take takes one test from the budget.
func (b *testBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
