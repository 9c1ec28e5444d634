package standin

import (
	"slices"
	"sync"
)

// engineQueue gives an engine's slots to its requests: the lowest priority number
// first, then the earliest.
type engineQueue struct {
	// slots is how many run at a time; 0 for no bound.
	slots int

	mu      sync.Mutex
	running int
	waiting []*engineTurn
	// begun lists the requests that got a slot, in that order.
	begun []string
}

// engineTurn is a request that waits for a slot.
type engineTurn struct {
	id       string
	priority int
	// granted gets true with the slot, false when the request is cancelled.
	granted chan bool
}

func (q *engineQueue) enter(id string, priority int) *engineTurn {
	turn := &engineTurn{id: id, priority: priority, granted: make(chan bool, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority > priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, turn)
	q.serve()
	return turn
}

// leave frees a slot.
func (q *engineQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.serve()
}

// drop takes a waiting request out; one that runs is left alone.
func (q *engineQueue) drop(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(t *engineTurn) bool {
		if t.id == id {
			t.granted <- false
		}
		return t.id == id
	})
}

func (q *engineQueue) serve() {
	for len(q.waiting) > 0 && (q.slots == 0 || q.running < q.slots) {
		turn := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		q.begun = append(q.begun, turn.id)
		turn.granted <- true
	}
}

func (q *engineQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// awaitSlot waits for the request's turn; false when it is cancelled before.
func (e *Engine) awaitSlot(id string, priority int) bool {
	turn := e.queue.enter(id, priority)
	if e.isCancelled(id) {
		e.queue.drop(id)
	}
	return <-turn.granted
}

// Waiting returns how many requests wait for a slot.
func (e *Engine) Waiting() int { return e.queue.length() }

// Started returns the ids of the requests that got a slot, in that order.
func (e *Engine) Started() []string {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	return slices.Clone(e.queue.begun)
}
