package idempotency

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

func outcome(id ID, end recordv1.CallEnd, answer Response) *recordv1.Entry {
	return &recordv1.Entry{Body: &recordv1.Entry_CallOutcome{CallOutcome: &recordv1.CallOutcome{
		Account: id.Account, Key: id.Key, Status: uint32(answer.Status), End: end,
	}}}
}

func (r *Runner) finish(held *heldCall, answer Response, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held.answer, held.err = answer, err
	switch {
	case err == nil:
		r.keep(held, recordv1.CallEnd_CALL_END_RAN)
	case !result.From(err).NotRun():
		r.keep(held, recordv1.CallEnd_CALL_END_UNKNOWN)
	case held.isTicket():
		// Not run: the ticket may be used again.
		r.tickets[ticketNumber(held)] = newTicketCall(held.call, held.expires)
		held.move(ended)
	default:
		r.endNotRun(held)
	}
}

// endNotRun answers the waiting callers with the refusal and frees the key.
func (r *Runner) endNotRun(held *heldCall) {
	successor := newHeldCall(held.call, claiming)
	r.held[held.call.ID] = successor
	held.move(ended)
	r.release(successor)
}

// keep holds the end of a call for its caller's retries.
func (r *Runner) keep(held *heldCall, end recordv1.CallEnd) {
	held.move(ended)
	if held.isTicket() {
		r.remember(held)
		return
	}
	ticket := r.Log.Submit(outcome(held.call.ID, end, held.answer))
	go r.awaitOutcome(held, ticket)
}

// awaitOutcome lets an answer be forgotten once the log holds the outcome: until
// then this node's memory is the only place that knows it.
func (r *Runner) awaitOutcome(held *heldCall, ticket *recordlog.Ticket) {
	select {
	case <-ticket.Done():
	case <-r.stopped:
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remember(held)
}

// remember takes an answer into the bounded memory. What leaves it for that stays
// known as run: by the log for a key, by its entry for a ticket.
func (r *Runner) remember(held *heldCall) {
	for _, old := range r.answers.add(held) {
		if !old.isTicket() {
			delete(r.held, old.call.ID)
			continue
		}
		if old.err == nil {
			old.err = result.New(result.AlreadyRan, "the call ran and was answered with status %d; its answer is no longer held", old.answer.Status)
		}
		old.answer = Response{}
	}
}
