package event

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const counterBits = 16

// Timestamp is a hybrid logical timestamp: Unix milliseconds << 16 | counter.
type Timestamp uint64

// Time returns the wall-clock part.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)).UTC() }

// HLC is a hybrid logical clock. It is safe for concurrent use and lock-free.
type HLC struct {
	clock clockwork.Clock
	last  atomic.Uint64
}

// NewHLC returns a clock that starts at the wall clock.
func NewHLC(clock clockwork.Clock) *HLC { return &HLC{clock: clock} }

// Now returns a stamp above every stamp given or observed before.
func (h *HLC) Now() Timestamp {
	wall := uint64(h.clock.Now().UnixMilli()) << counterBits
	for {
		last := h.last.Load()
		next := max(wall, last+1)
		if h.last.CompareAndSwap(last, next) {
			return Timestamp(next)
		}
	}
}

// Observe moves the clock past a stamp received from another process.
func (h *HLC) Observe(s Timestamp) {
	for {
		last := h.last.Load()
		if uint64(s) <= last || h.last.CompareAndSwap(last, uint64(s)) {
			return
		}
	}
}
