package event

import "sync/atomic"

// counts holds the number of recorded events by kind. The map is fully populated before
// its first use and never modified, so that it can be read without a lock.
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

// Counts returns the number of recorded events by name since the node's start, including
// events that the ring has dropped. Kinds without any event are omitted.
func (r *Recorder) Counts() map[string]uint64 {
	byName := map[string]uint64{}
	for number, count := range r.counts {
		if n := count.Load(); n > 0 {
			byName[number.Kind().Name] = n
		}
	}
	return byName
}

// Dropped returns the number of events that the ring has dropped.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
