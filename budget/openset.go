package budget

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
)

const (
	// openSlots is how many reservations are held without a lock; more go to a map.
	openSlots = 4096
	// openProbes is how many slots are tried before the map.
	openProbes = 8
	// drawing marks a slot whose counter is about to be drawn. Counters start at 2.
	drawing = 1
)

// openSet holds the counters of open reservations. A slot is marked before its
// counter is drawn, so oldest never misses a counter that was drawn but isn't
// entered yet: the fold would take such a request for settled.
type openSet struct {
	next  atomic.Uint64
	slots [openSlots]atomic.Uint64

	mu       sync.Mutex
	overflow map[uint64]struct{}
}

func (s *openSet) add(h *ShareHolder, share *localShare, budget string, tokens uint64) *Reservation {
	r := &Reservation{Budget: budget, Tokens: tokens, holder: h, share: share}
	r.slot = s.mark()
	if r.slot == nil {
		r.ID = RequestID{Incarnation: h.incarnation, Counter: s.addOverflow()}
		return r
	}
	counter := s.next.Add(1) + drawing
	r.slot.Store(counter)
	r.ID = RequestID{Incarnation: h.incarnation, Counter: counter}
	return r
}

// mark takes a free slot; nil when none is found soon.
func (s *openSet) mark() *atomic.Uint64 {
	from := rand.Uint32()
	for probe := range uint32(openProbes) {
		slot := &s.slots[(from+probe*probe)%openSlots]
		if slot.Load() == 0 && slot.CompareAndSwap(0, drawing) {
			return slot
		}
	}
	return nil
}

func (s *openSet) addOverflow() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counter := s.next.Add(1) + drawing
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

// oldest returns the lowest open counter, or the next one to be drawn. The next
// counter is read first: what is drawn later is higher than the result anyway.
func (s *openSet) oldest() uint64 {
	oldest := s.next.Load() + drawing + 1
	for i := range s.slots {
		if counter := s.settledSlot(i); counter != 0 {
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

// settledSlot returns a slot's counter once it is drawn.
func (s *openSet) settledSlot(i int) uint64 {
	for {
		if counter := s.slots[i].Load(); counter != drawing {
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
