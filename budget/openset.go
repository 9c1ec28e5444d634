package budget

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
)

const (
	// openSlotCount is the number of reservations tracked without a lock; more go to a map.
	openSlotCount = 4096
	// maxSlotProbes is the number of slots tried before falling back to the map.
	maxSlotProbes = 8
	// assigning marks a slot whose counter is about to be assigned. Counters start at 2.
	assigning = 1
)

// openSet holds the counters of open reservations. A slot is marked before its counter is
// assigned, so that oldest never misses a counter that is assigned but not yet stored: the
// ledger would treat such a request as settled.
type openSet struct {
	next  atomic.Uint64
	slots [openSlotCount]atomic.Uint64

	mu       sync.Mutex
	overflow map[uint64]struct{}
}

func (s *openSet) add(h *ShareHolder, share *localShare, budget string, tokens uint64) *Reservation {
	r := &Reservation{Budget: budget, Tokens: tokens, holder: h, share: share}
	r.slot = s.acquireSlot()
	if r.slot == nil {
		r.ID = RequestID{Incarnation: h.incarnation, Counter: s.addOverflow()}
		return r
	}
	counter := s.next.Add(1) + assigning
	r.slot.Store(counter)
	r.ID = RequestID{Incarnation: h.incarnation, Counter: counter}
	return r
}

// acquireSlot marks a free slot and returns it; nil if none is found within maxSlotProbes.
func (s *openSet) acquireSlot() *atomic.Uint64 {
	from := rand.Uint32()
	for probe := range uint32(maxSlotProbes) {
		slot := &s.slots[(from+probe*probe)%openSlotCount]
		if slot.Load() == 0 && slot.CompareAndSwap(0, assigning) {
			return slot
		}
	}
	return nil
}

func (s *openSet) addOverflow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counter := s.next.Add(1) + assigning
	if s.overflow == nil {
		s.overflow = map[uint64]struct{}{}
	}
	s.overflow[counter] = struct{}{}
	return counter
}

func (s *openSet) remove(r *Reservation) {
	if r.slot != nil {
		r.slot.Store(0)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.overflow, r.ID.Counter)
}

// oldest returns the lowest open counter, or the next one to be assigned. The next counter is
// read first: any assigned later is higher than the result anyway.
func (s *openSet) oldest() uint64 {
	oldest := s.next.Load() + assigning + 1
	for i := range s.slots {
		if counter := s.awaitSlot(i); counter != 0 {
			oldest = min(oldest, counter)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for counter := range s.overflow {
		oldest = min(oldest, counter)
	}
	return oldest
}

// awaitSlot returns a slot's counter, waiting while it is being assigned; 0 for a free slot.
func (s *openSet) awaitSlot(i int) uint64 {
	for {
		if counter := s.slots[i].Load(); counter != assigning {
			return counter
		}
		runtime.Gosched()
	}
}

func (s *openSet) len() int {
	n := 0
	for i := range s.slots {
		if s.slots[i].Load() != 0 {
			n++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return n + len(s.overflow)
}
