package budget

import (
	"math"
	"sync"
	"sync/atomic"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// settlementShards is the number of independent stacks, which reduces cache-line contention.
const settlementShards = 32

// settlementQueue holds finished reservations that wait to be put into a log entry. Requests
// push onto lock-free linked stacks; take drains them into backlog, which also keeps what it
// left.
type settlementQueue struct {
	count  atomic.Int64
	shards [settlementShards]settlementShard

	mu      sync.Mutex
	backlog []*Reservation
}

type settlementShard struct {
	top atomic.Pointer[Reservation]
	_   [56]byte // pads each shard to its own cache line
}

func (q *settlementQueue) add(r *Reservation) {
	q.count.Add(1)
	shard := &q.shards[r.ID.Counter%settlementShards]
	for {
		r.next = shard.top.Load()
		if shard.top.CompareAndSwap(r.next, r) {
			return
		}
	}
}

func (q *settlementQueue) len() int { return int(q.count.Load()) }

// take removes up to limit settlements. It also returns the lowest counter still queued, or the
// largest uint64 if none is.
func (q *settlementQueue) take(limit int) (taken []*recordv1.Settlement, oldestRemaining uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drainShards()
	n := min(limit, len(q.backlog))
	for _, r := range q.backlog[:n] {
		taken = append(taken, &recordv1.Settlement{Request: r.ID.String(), Budget: r.Budget, Tokens: r.used})
	}
	q.backlog = q.backlog[n:]
	oldestRemaining = math.MaxUint64
	for _, r := range q.backlog {
		oldestRemaining = min(oldestRemaining, r.ID.Counter)
	}
	q.count.Add(-int64(n))
	return taken, oldestRemaining
}

// drainShards moves everything pushed so far to the backlog.
func (q *settlementQueue) drainShards() {
	for i := range q.shards {
		for r := q.shards[i].top.Swap(nil); r != nil; {
			next := r.next
			r.next = nil
			q.backlog = append(q.backlog, r)
			r = next
		}
	}
}
