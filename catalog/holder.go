package catalog

import (
	"sync"
	"sync/atomic"
)

// Holder publishes the newest view. Current is lock-free.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
	// ready is closed when the first view is published; nil until Ready is called.
	ready chan struct{}
}

// Current returns the view in force, or nil before the first one is published.
func (h *Holder) Current() *View { return h.current.Load() }

// Ready returns a channel that is closed once a view is in force.
func (h *Holder) Ready() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ready == nil {
		h.ready = make(chan struct{})
		if h.current.Load() != nil {
			close(h.ready)
		}
	}
	return h.ready
}

// Publish puts a view in force if it is newer than the current one, and reports whether it did.
// Reads of the store may complete out of order; without the comparison a late one would restore
// a dropped route or a revoked key.
func (h *Holder) Publish(v *View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.Version >= v.Version {
		return false
	}
	if h.current.Swap(v) == nil && h.ready != nil {
		close(h.ready)
	}
	return true
}
