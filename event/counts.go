package event

import "sync/atomic"

// counts holds how often each kind of event was recorded. The map is made whole
// before its first use and never changed, so that it is read without a lock.
type counts map[Number]*atomic.Uint64

func newCounts() counts {
	c := counts{}
	for number := range All() {
		c[number] = new(atomic.Uint64)
	}
	return c
}

func (c counts) add(number Number) {
	if count := c[number]; count != nil {
		count.Add(1)
	}
}

// Counts returns by name how often each kind of event was recorded since the node's
// start, those that the ring dropped since included. Kinds that never came are left out.
func (r *Recorder) Counts() map[string]uint64 {
	seen := map[string]uint64{}
	for number, count := range r.counts {
		if n := count.Load(); n > 0 {
			seen[number.Kind().Name] = n
		}
	}
	return seen
}

// Dropped returns how many events the ring no longer holds.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
