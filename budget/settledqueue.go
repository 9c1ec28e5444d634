package budget

import (
	"math"
	"sync"
	"sync/atomic"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// settledHeads spreads the queue over cache lines.
const settledHeads = 32

// settledQueue holds finished reservations that wait for the log: linked stacks to
// which requests push without a lock, and what the last take left over.
type settledQueue struct {
	count atomic.Int64
	heads [settledHeads]settledHead

	mu   sync.Mutex
	left []*Reservation
}

type settledHead struct {
	top atomic.Pointer[Reservation]
	_   [56]byte // keeps heads on separate cache lines
}

func (q *settledQueue) add(r *Reservation) {
	q.count.Add(1)
	head := &q.heads[r.ID.Counter%settledHeads]
	for {
		r.next = head.top.Load()
		if head.top.CompareAndSwap(r.next, r) {
			return
		}
	}
}

func (q *settledQueue) len() int { return int(q.count.Load()) }

// take removes up to limit settlements. It also returns the lowest counter that is left.
func (q *settledQueue) take(limit int) (taken []*recordv1.Settlement, oldestLeft uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.collect()
	n := min(limit, len(q.left))
	for _, r := range q.left[:n] {
		taken = append(taken, &recordv1.Settlement{Request: r.ID.String(), Budget: r.Budget, Tokens: r.used})
	}
	q.left = q.left[n:]
	oldestLeft = math.MaxUint64
	for _, r := range q.left {
		oldestLeft = min(oldestLeft, r.ID.Counter)
	}
	q.count.Add(-int64(n))
	return taken, oldestLeft
}

// collect moves all that was pushed to the list.
func (q *settledQueue) collect() {
	for i := range q.heads {
		for r := q.heads[i].top.Swap(nil); r != nil; {
			next := r.next
			r.next = nil
			q.left = append(q.left, r)
			r = next
		}
	}
}
