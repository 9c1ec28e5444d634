package budget

import "sync"

// shortfallTable counts, per budget, the requested tokens that the local share didn't cover.
type shortfallTable struct {
	mu       sync.Mutex
	byBudget map[string]uint64
}

func (t *shortfallTable) add(budget string, tokens uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byBudget == nil {
		t.byBudget = map[string]uint64{}
	}
	t.byBudget[budget] += tokens
}

// take returns the counts and resets them.
func (t *shortfallTable) take() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	byBudget := t.byBudget
	t.byBudget = nil
	return byBudget
}
