package budget

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// openShards spreads the open reservations over locks, so that cores rarely meet.
const openShards = 64

// openSet holds the counters of open reservations. A counter is drawn and entered
// under its shard's lock; oldest takes all locks, so it never misses a counter
// that was drawn but not entered yet.
type openSet struct {
	next   atomic.Uint64
	shards [openShards]openShard
}

type openShard struct {
	mu   sync.Mutex
	held map[uint64]struct{}
	_    [40]byte // keeps shards on separate cache lines
}

func (s *openSet) add(h *Holder, share *localShare, budget string, tokens uint64) *Reservation {
	shard := &s.shards[rand.Uint32()%openShards]
	shard.mu.Lock()
	counter := s.next.Add(1)
	if shard.held == nil {
		shard.held = map[uint64]struct{}{}
	}
	shard.held[counter] = struct{}{}
	shard.mu.Unlock()
	return &Reservation{
		ID:     RequestID{Incarnation: h.incarnation, Counter: counter},
		Budget: budget, Tokens: tokens, holder: h, share: share, shard: shard,
	}
}

func (s *openShard) remove(counter uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, counter)
}

// oldest returns the lowest open counter, or the next one to be drawn.
func (s *openSet) oldest() uint64 {
	for i := range s.shards {
		s.shards[i].mu.Lock()
		defer s.shards[i].mu.Unlock()
	}
	oldest := s.next.Load() + 1
	for i := range s.shards {
		for counter := range s.shards[i].held {
			oldest = min(oldest, counter)
		}
	}
	return oldest
}

func (s *openSet) len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].held)
		s.shards[i].mu.Unlock()
	}
	return n
}
