package standin

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/ports"
)

// Weights is a weight store that admits one fetch per interval. It implements
// ports.Weights.
type Weights struct {
	clock    clockwork.Clock
	interval time.Duration

	mu   sync.Mutex
	next time.Time
}

var _ ports.WeightStore = (*Weights)(nil)

// weightBytes is what every model weighs here.
const weightBytes = 16 << 30

// NewWeights returns a store that admits a fetch per interval.
func NewWeights(clock clockwork.Clock, interval time.Duration) *Weights {
	return &Weights{clock: clock, interval: interval}
}

// Fetch implements ports.Weights.
func (w *Weights) Fetch(context.Context, string, string) (uint64, time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if now.Before(w.next) {
		return 0, w.next.Sub(now), nil
	}
	w.next = now.Add(w.interval)
	return weightBytes, 0, nil
}
