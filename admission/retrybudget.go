package admission

import "sync"

const (
	// RetryRatio is how many retries each first attempt pays for.
	RetryRatio = 0.1
	// retryReserve is the most retries saved up, and what a new budget starts with.
	retryReserve = 10
)

// RetryBudget bounds the load that retries add. Each node keeps its own, so the
// fleet's retries stay below the same share of the fleet's requests. Without it a sick
// engine would multiply the load just when the fleet has least to spare. It is safe
// for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	balance float64
}

// NewRetryBudget returns a budget with its reserve full.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: retryReserve} }

// FirstAttempt pays in for a request's first attempt.
func (b *RetryBudget) FirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+RetryRatio, retryReserve)
}

// TryRetry takes one retry out; false if there is none.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
