package witness

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// exchangeTimeout bounds one exchange with a witness.
	exchangeTimeout = 300 * time.Millisecond
	// retryInterval is the time between two attempts while no witness answers, and between
	// two checks that the current witness is still a candidate.
	retryInterval = time.Second
	// maxPerMessage bounds the requests in one message.
	maxPerMessage = 2000
	// maxForget bounds the queue of requests to forget. The witness also removes them when it
	// folds the log, a little later.
	maxForget = 10_000
	// secondBatchDelay is how long updates for the second witness are batched. It may be in
	// another region, and a request that begins and ends within the delay is sent once.
	secondBatchDelay = 20 * time.Millisecond
)

// witnessQueue holds the updates pending for one witness of a Replicator, and who that
// witness is. The replicator's lock guards dirty and the fields after it.
type witnessQueue struct {
	replicator *Replicator
	// candidates returns the possible witnesses, best first.
	candidates func() []Candidate
	// batchDelay is how long updates are batched before they are sent.
	batchDelay time.Duration
	wake       chan struct{}

	dirty   map[string]struct{}
	forget  []string
	waiters []chan error
	witness Candidate
	// failing is set while no witness answers; requests then don't wait for one.
	failing bool
}

func newWitnessQueue(replicator *Replicator, candidates func() []Candidate, batchDelay time.Duration) *witnessQueue {
	return &witnessQueue{
		replicator: replicator, candidates: candidates, batchDelay: batchDelay, wake: make(chan struct{}, 1), dirty: map[string]struct{}{},
	}
}

// markDirty queues the current state of a request. The caller holds the replicator's lock.
func (q *witnessQueue) markDirty(request string) {
	q.dirty[request] = struct{}{}
	q.notify()
}

// queueForget queues a request to forget. The caller holds the replicator's lock.
func (q *witnessQueue) queueForget(request string) {
	if len(q.forget) < maxForget {
		q.forget = append(q.forget, request)
	}
	q.notify()
}

// addWaiter makes the next flush report its result on done. The caller holds the
// replicator's lock.
func (q *witnessQueue) addWaiter(done chan error) {
	if q.failing {
		done <- result.New(result.NoWitness, "no witness answers")
		return
	}
	q.waiters = append(q.waiters, done)
}

func (q *witnessQueue) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run flushes pending updates until ctx is done.
func (q *witnessQueue) run(ctx context.Context) {
	clock := q.replicator.config.Clock
	ticker := clock.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-ticker.Chan():
		}
		if q.batchDelay > 0 {
			select {
			case <-ctx.Done():
				return
			case <-clock.After(q.batchDelay):
			}
		}
		q.flush(ctx)
	}
}

// flush sends the pending updates to the witness. If that doesn't answer or is no longer a
// candidate, it sends all entries to the next candidate.
func (q *witnessQueue) flush(ctx context.Context) {
	candidates := q.candidates()
	if !q.hasPending() && contains(candidates, q.current()) {
		return
	}
	waiters := q.takeWaiters()
	err := error(result.New(result.NoWitness, "no other node answers"))
	for _, candidate := range q.currentFirst(candidates) {
		if err = q.send(ctx, candidate); err == nil {
			break
		}
	}
	q.setFailing(err != nil && !q.replicator.config.OnlyNode())
	for _, done := range waiters {
		done <- err
	}
}

func contains(candidates []Candidate, c Candidate) bool {
	for _, candidate := range candidates {
		if candidate == c {
			return true
		}
	}
	return len(candidates) == 0
}

func (q *witnessQueue) current() Candidate {
	q.replicator.mu.Lock()
	defer q.replicator.mu.Unlock()
	return q.witness
}

func (q *witnessQueue) hasPending() bool {
	q.replicator.mu.Lock()
	defer q.replicator.mu.Unlock()
	return len(q.dirty) > 0 || len(q.forget) > 0 || len(q.waiters) > 0
}

func (q *witnessQueue) takeWaiters() []chan error {
	q.replicator.mu.Lock()
	defer q.replicator.mu.Unlock()
	waiters := q.waiters
	q.waiters = nil
	return waiters
}

func (q *witnessQueue) setFailing(failing bool) {
	q.replicator.mu.Lock()
	defer q.replicator.mu.Unlock()
	q.failing = failing
}

// currentFirst moves the current witness to the front if it is a candidate.
func (q *witnessQueue) currentFirst(candidates []Candidate) []Candidate {
	current := q.current()
	if !contains(candidates, current) || len(candidates) == 0 {
		return candidates
	}
	ordered := []Candidate{current}
	for _, candidate := range candidates {
		if candidate != current {
			ordered = append(ordered, candidate)
		}
	}
	return ordered
}

// send brings a candidate up to date and makes it the witness. A new witness gets all
// entries, not only those that changed.
func (q *witnessQueue) send(ctx context.Context, to Candidate) error {
	isNew := to != q.current()
	if isNew {
		q.markAllDirty()
	}
	for {
		message, more := q.nextMessage()
		if err := q.replicator.exchange(ctx, to, message); err != nil {
			q.requeue(message)
			return err
		}
		if !more {
			break
		}
	}
	if isNew {
		q.replicator.mu.Lock()
		q.witness = to
		q.replicator.mu.Unlock()
		q.replicator.config.Events.Record(event.WitnessChanged, "witness", to.Incarnation)
	}
	return nil
}

func (r *Replicator) exchange(ctx context.Context, to Candidate, message *fleetv1.Witness) error {
	ctx, cancel := clockwork.WithTimeout(ctx, r.config.Clock, exchangeTimeout)
	defer cancel()
	response, err := r.config.Caller.Call(ctx, to.Address, &fleetv1.Request{
		From: r.config.Incarnation, Hlc: uint64(r.config.Events.Clock().Now()), Body: &fleetv1.Request_Witness{Witness: message},
	})
	if err != nil {
		return err
	}
	if code := result.Code(response.GetCode()); code != result.OK {
		return result.New(code, "%s", response.GetMessage())
	}
	return nil
}

func (q *witnessQueue) markAllDirty() {
	q.replicator.mu.Lock()
	defer q.replicator.mu.Unlock()
	for request := range q.replicator.entries {
		q.dirty[request] = struct{}{}
	}
}

func (q *witnessQueue) nextMessage() (message *fleetv1.Witness, more bool) {
	q.replicator.mu.Lock()
	defer q.replicator.mu.Unlock()
	message = &fleetv1.Witness{Forget: q.forget}
	q.forget = nil
	for request := range q.dirty {
		if len(message.Open) == maxPerMessage {
			return message, true
		}
		delete(q.dirty, request)
		message.Open = append(message.Open, q.replicator.entries[request])
	}
	return message, false
}

// requeue queues the content of an undelivered message again, except for requests that were
// removed meanwhile.
func (q *witnessQueue) requeue(message *fleetv1.Witness) {
	q.replicator.mu.Lock()
	defer q.replicator.mu.Unlock()
	for _, open := range message.GetOpen() {
		if q.replicator.entries[open.GetRequest()] != nil {
			q.dirty[open.GetRequest()] = struct{}{}
		}
	}
	q.forget = append(message.GetForget(), q.forget...)
	q.forget = q.forget[:min(maxForget, len(q.forget))]
}
