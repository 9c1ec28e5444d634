package catalog

import (
	"sync"
	"sync/atomic"
)

// Holder publishes the newest view. Current is lock-free.
type Holder struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
}

// Current returns the view in force, or nil before the first one is known.
func (h *Holder) Current() *View { return h.current.Load() }

// Publish puts a view in force if it is newer than the current one, and tells whether
// it did. Readings of the store may arrive out of order; without the comparison a
// late one would bring back a dropped route or a revoked key.
func (h *Holder) Publish(v *View) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.Version >= v.Version {
		return false
	}
	h.current.Store(v)
	return true
}
