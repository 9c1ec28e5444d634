package catalog

import (
	"sync"
	"sync/atomic"
)

// Holder publishes the newest view. Current is lock-free.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
	// first is closed with the first view; nil until somebody waits for it.
	first chan struct{}
}

// Current returns the view in force, or nil before the first one is known.
func (h *Holder) Current() *View { return h.current.Load() }

// Ready returns a channel that is closed once a view is in force.
func (h *Holder) Ready() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.first == nil {
		h.first = make(chan struct{})
		if h.current.Load() != nil {
			close(h.first)
		}
	}
	return h.first
}

// Publish puts a view in force if it is newer than the current one, and tells whether
// it did. Readings of the store may arrive out of order; without the comparison a
// late one would bring back a dropped route or a revoked key.
func (h *Holder) Publish(v *View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.Version >= v.Version {
		return false
	}
	if h.current.Swap(v) == nil && h.first != nil {
		close(h.first)
	}
	return true
}
