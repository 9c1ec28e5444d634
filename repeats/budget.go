package repeats

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// buckets is the number of parts of the window, which slides by one part at a time.
	buckets = 20
	// safetyFactor is the fraction of the budget that is used. The rest covers replaced nodes:
	// the retries of a dead node within the window still count.
	safetyFactor = 0.6
)

// Limits are the limits of the fleet-wide retry budget of a service.
type Limits struct {
	// Ratio is the maximum ratio of retries to requests in a window.
	Ratio float64
	// Extra is the number of additional retries per window for the whole fleet.
	Extra float64
	// Window is the duration to which both limits apply.
	Window time.Duration
}

// Budget is this node's retry budget for one service. It counts requests and retries in a
// sliding window and is safe for concurrent use.
type Budget struct {
	limits Limits
	clock  bootclock.Clock

	mu            sync.Mutex
	currentBucket int64
	requests      [buckets]float64
	retries       [buckets]float64
}

// NewBudget returns a budget with an empty window.
func NewBudget(limits Limits, clock bootclock.Clock) *Budget {
	return &Budget{limits: limits, clock: clock}
}

// RecordRequest counts a request from a caller; retries aren't recorded here.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	b.requests[b.currentBucket%buckets]++
}

// TryRetry takes one retry from the budget; it returns false if the budget is exhausted. nodes is
// the number of nodes that share Limits.Extra.
func (b *Budget) TryRetry(nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	allowed := safetyFactor * (b.limits.Ratio*sum(&b.requests) + b.limits.Extra/float64(max(1, nodes)))
	if sum(&b.retries)+1 > allowed {
		return false
	}
	b.retries[b.currentBucket%buckets]++
	return true
}

// advance clears the buckets that have left the window. The caller must hold mu.
func (b *Budget) advance() {
	now := int64(b.clock.Now() / (b.limits.Window / buckets))
	for steps := min(now-b.currentBucket, buckets); steps > 0; steps-- {
		slot := (now - steps + 1) % buckets
		b.requests[slot], b.retries[slot] = 0, 0
	}
	b.currentBucket = max(b.currentBucket, now)
}

func sum(values *[buckets]float64) float64 {
	total := 0.0
	for _, n := range values {
		total += n
	}
	return total
}
