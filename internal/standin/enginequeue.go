package standin

import (
	"slices"
	"sync"
)

// engineQueue grants an engine's slots to its requests: the lowest priority number
// first, then the earliest.
type engineQueue struct {
	// slots is how many requests run at a time; 0 means unlimited.
	slots int

	mu      sync.Mutex
	running int
	waiting []*queuedRequest
	// grantedIDs lists the requests that got a slot, in the order of the grants.
	grantedIDs []string
}

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	id       string
	priority int
	// granted receives true with the slot, or false when the request is cancelled.
	granted chan bool
}

func (q *engineQueue) enqueue(id string, priority int) *queuedRequest {
	queued := &queuedRequest{id: id, priority: priority, granted: make(chan bool, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	i := len(q.waiting)
	for i > 0 && q.waiting[i-1].priority > priority {
		i--
	}
	q.waiting = slices.Insert(q.waiting, i, queued)
	q.grant()
	return queued
}

// release frees a slot.
func (q *engineQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.grant()
}

// remove removes a waiting request; a running one is unaffected.
func (q *engineQueue) remove(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(queued *queuedRequest) bool {
		if queued.id == id {
			queued.granted <- false
		}
		return queued.id == id
	})
}

func (q *engineQueue) grant() {
	for len(q.waiting) > 0 && (q.slots == 0 || q.running < q.slots) {
		next := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.running++
		q.grantedIDs = append(q.grantedIDs, next.id)
		next.granted <- true
	}
}

func (q *engineQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// awaitSlot waits for a slot; it returns false if the request is cancelled first.
func (e *Engine) awaitSlot(id string, priority int) bool {
	queued := e.queue.enqueue(id, priority)
	if e.isCancelled(id) {
		e.queue.remove(id)
	}
	return <-queued.granted
}

// Waiting returns how many requests wait for a slot.
func (e *Engine) Waiting() int { return e.queue.length() }

// Started returns the ids of the requests that got a slot, in the order of the grants.
func (e *Engine) Started() []string {
	e.queue.mu.Lock()
	defer e.queue.mu.Unlock()
	return slices.Clone(e.queue.grantedIDs)
}
