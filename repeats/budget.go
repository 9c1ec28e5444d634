package repeats

import (
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// buckets divide the window, so that it slides by a twentieth at a time.
	buckets = 20
	// caution is the part of the budget that is used. The rest covers nodes that were
	// replaced: what a dead node sent again within the window still counts.
	caution = 0.6
)

// Limits are the fleet's budget and this node's part of it.
type Limits struct {
	// Ratio is the share of a window's requests that may be sent again.
	Ratio float64
	// Extra is the number of repeats a window that the whole fleet may add.
	Extra float64
	// Window is the length over which both count.
	Window time.Duration
}

// Budget counts one service's requests and repeats on this node. It is safe for
// concurrent use.
type Budget struct {
	limits Limits
	clock  bootclock.Clock

	mu       sync.Mutex
	at       int64
	requests [buckets]float64
	repeats  [buckets]float64
}

// NewBudget returns a budget without history.
func NewBudget(limits Limits, clock bootclock.Clock) *Budget {
	return &Budget{limits: limits, clock: clock}
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide()
	b.requests[b.at%buckets]++
}

// TryRetry takes one repeat out; false if the budget is spent. nodes is how many nodes
// share the fixed number.
func (b *Budget) TryRetry(nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide()
	allowed := caution * (b.limits.Ratio*sum(&b.requests) + b.limits.Extra/float64(max(1, nodes)))
	if sum(&b.repeats)+1 > allowed {
		return false
	}
	b.repeats[b.at%buckets]++
	return true
}

// slide empties the buckets that have left the window. Caller holds mu.
func (b *Budget) slide() {
	now := int64(b.clock.Now() / (b.limits.Window / buckets))
	for steps := min(now-b.at, buckets); steps > 0; steps-- {
		slot := (now - steps + 1) % buckets
		b.requests[slot], b.repeats[slot] = 0, 0
	}
	b.at = max(b.at, now)
}

func sum(of *[buckets]float64) float64 {
	total := 0.0
	for _, n := range of {
		total += n
	}
	return total
}
