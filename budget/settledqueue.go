package budget

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// settledQueue holds settlements that wait for the log, spread over locks so that
// cores rarely meet.
type settledQueue struct {
	count  atomic.Int64
	shards [openShards]settledShard
}

type settledShard struct {
	mu   sync.Mutex
	held []settlement
	_    [96]byte // keeps shards on separate cache lines
}

// settlement is kept small and without strings of its own; its log form is made
// when it is taken.
type settlement struct {
	id     RequestID
	budget string
	tokens uint64
}

func (q *settledQueue) add(id RequestID, budget string, tokens uint64) {
	shard := &q.shards[rand.Uint32()%openShards]
	shard.mu.Lock()
	shard.held = append(shard.held, settlement{id, budget, tokens})
	shard.mu.Unlock()
	q.count.Add(1)
}

func (q *settledQueue) len() int { return int(q.count.Load()) }

// take removes up to limit settlements. It also returns the lowest counter that is left.
func (q *settledQueue) take(limit int) (taken []*recordv1.Settlement, oldestLeft uint64) {
	oldestLeft = math.MaxUint64
	for i := range q.shards {
		shard := &q.shards[i]
		shard.mu.Lock()
		n := min(limit-len(taken), len(shard.held))
		for _, s := range shard.held[:n] {
			taken = append(taken, &recordv1.Settlement{Request: s.id.String(), Budget: s.budget, Tokens: s.tokens})
		}
		shard.held = shard.held[n:]
		for _, s := range shard.held {
			oldestLeft = min(oldestLeft, s.id.Counter)
		}
		if len(shard.held) == 0 {
			shard.held = nil
		}
		shard.mu.Unlock()
	}
	q.count.Add(-int64(len(taken)))
	return taken, oldestLeft
}
