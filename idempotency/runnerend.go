package idempotency

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

func outcomeEntry(id ID, end recordv1.CallEnd, response Response) *recordv1.Entry {
	return &recordv1.Entry{Body: &recordv1.Entry_CallOutcome{CallOutcome: &recordv1.CallOutcome{
		Account: id.Account, Key: id.Key, Status: uint32(response.Status), End: end,
	}}}
}

func (r *Runner) finish(entry *callEntry, response Response, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.response, entry.err = response, err
	switch {
	case err == nil:
		r.recordOutcome(entry, recordv1.CallEnd_CALL_END_RAN)
	case !result.From(err).NotRun():
		r.recordOutcome(entry, recordv1.CallEnd_CALL_END_UNKNOWN)
	case entry.isTicket():
		// The call did not run, so the ticket may be used again.
		r.tickets[ticketNumber(entry)] = newTicketEntry(entry.call, entry.expiresMS)
		entry.setPhase(done)
	default:
		r.finishNotRun(entry)
	}
}

// finishNotRun returns the refusal to the waiting callers and releases the key.
func (r *Runner) finishNotRun(entry *callEntry) {
	successor := newCallEntry(entry.call, claiming)
	r.calls[entry.call.ID] = successor
	entry.setPhase(done)
	r.release(successor)
}

// recordOutcome keeps the result of a call for its caller's retries and, for a call
// with a key, appends the outcome to the log.
func (r *Runner) recordOutcome(entry *callEntry, end recordv1.CallEnd) {
	entry.setPhase(done)
	if entry.isTicket() {
		r.cacheResponse(entry)
		return
	}
	ticket := r.Log.Submit(outcomeEntry(entry.call.ID, end, entry.response))
	go r.awaitOutcome(entry, ticket)
}

// awaitOutcome makes a response evictable once the log has the outcome. Until then the
// outcome is known only to this node's memory.
func (r *Runner) awaitOutcome(entry *callEntry, ticket *recordlog.Ticket) {
	select {
	case <-ticket.Done():
	case <-r.stopped:
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cacheResponse(entry)
}

// cacheResponse adds a response to the bounded cache. An evicted call is still known to
// have run: from the log for a key, from its entry for a ticket.
func (r *Runner) cacheResponse(entry *callEntry) {
	for _, evicted := range r.responses.add(entry) {
		if !evicted.isTicket() {
			delete(r.calls, evicted.call.ID)
			continue
		}
		if evicted.err == nil {
			evicted.err = result.New(result.AlreadyRan, "the call ran and was answered with status %d; its answer is no longer held", evicted.response.Status)
		}
		evicted.response = Response{}
	}
}
