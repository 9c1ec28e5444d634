package admission

import "sync"

const (
	// RetryRatio is the retry balance that each first attempt adds.
	RetryRatio = 0.1
	// maxRetryBalance is the largest balance, and that of a new budget.
	maxRetryBalance = 10
)

// RetryBudget bounds the load that retries add. Each node has its own budget, so the fleet's
// retries stay below the same ratio of the fleet's requests. Without it a failing engine would
// multiply the load just when the fleet has the least spare capacity. It is safe for concurrent
// use.
type RetryBudget struct {
	mu      sync.Mutex
	balance float64
}

// NewRetryBudget returns a budget with a full balance.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: maxRetryBalance} }

// FirstAttempt credits the budget for a request's first attempt.
func (b *RetryBudget) FirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+RetryRatio, maxRetryBalance)
}

// TryRetry debits one retry and reports whether the balance allowed it.
func (b *RetryBudget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
