package idempotency

// answerQueue bounds the memory of answers held: the oldest go first.
type answerQueue struct {
	limit int
	size  int
	calls []queued
}

// queued is an answer with its size when it came in: it may be dropped in place.
type queued struct {
	call *heldCall
	size int
}

// add takes a call in and returns those that have to be forgotten for it.
func (q *answerQueue) add(held *heldCall) []*heldCall {
	q.calls = append(q.calls, queued{held, held.size()})
	q.size += held.size()
	var old []*heldCall
	for q.size > q.limit && len(q.calls) > 1 {
		old = append(old, q.calls[0].call)
		q.size -= q.calls[0].size
		q.calls = q.calls[1:]
	}
	return old
}
