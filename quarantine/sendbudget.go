package quarantine

import (
	"sync"
	"time"
)

const (
	// messagesPerSecond bounds the messages of a node in the long run, and savedMessages how many it may send at once after
	// a pause: all that one crash causes are sent at once, and what many cause is gathered. A small instance handles a
	// message in a millisecond or two.
	messagesPerSecond = 100
	savedMessages     = 200
	// decisiveDebt is how far the budget may be in debt for what counts for or against parts: a block by mistake, or one that
	// is lifted late, refuses sound requests.
	decisiveDebt = 400
)

// sendBudget bounds the messages of a node over time. Its methods may be called by several goroutines.
type sendBudget struct {
	mu sync.Mutex
	// left is how many messages may be sent at once; negative after a batch that took more.
	left float64
	at   time.Time
}

// take takes messages from the budget, which may then be in debt.
func (b *sendBudget) take(messages int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.left -= float64(messages)
}

// wait returns the time until the budget is no more than some messages in debt.
func (b *sendBudget) wait(debt float64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return time.Duration(max(0, -b.left-debt) / messagesPerSecond * float64(time.Second))
}

// refill adds what the time since the last call allows. The caller must hold mu.
func (b *sendBudget) refill(now time.Time) {
	if b.at.IsZero() {
		b.left, b.at = savedMessages, now
		return
	}
	b.left = min(savedMessages, b.left+now.Sub(b.at).Seconds()*messagesPerSecond)
	b.at = now
}
