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
	// sendTimeout bounds one exchange with a witness.
	sendTimeout = 300 * time.Millisecond
	// retryInterval is the time between two tries while nobody answers, and between
	// two looks at whether the witness still is a good one.
	retryInterval = time.Second
	// maxPerMessage bounds one message.
	maxPerMessage = 2000
	// maxForget bounds what a witness is yet to be told to forget. It would find out
	// from the log as well, a little later.
	maxForget = 10_000
	// copyGather is how long news for the second witness is gathered. It may stand in
	// another region, and a request that began and ended meanwhile is told once.
	copyGather = 20 * time.Millisecond
)

// recipient is what one witness of a Teller has been told and is yet to be told. Its
// fields but wake are guarded by the teller's lock.
type recipient struct {
	teller *Replicator
	// candidates lists who may be this witness, best first.
	candidates func() []Candidate
	// gather is how long news is gathered before it is sent.
	gather time.Duration
	wake   chan struct{}

	dirty   map[string]struct{}
	forget  []string
	waiting []chan error
	witness Candidate
	// failing is set while no witness answers: requests then don't wait for one.
	failing bool
}

func newRecipient(teller *Replicator, candidates func() []Candidate, gather time.Duration) *recipient {
	return &recipient{
		teller: teller, candidates: candidates, gather: gather, wake: make(chan struct{}, 1), dirty: map[string]struct{}{},
	}
}

// change notes a request that is to be told; the teller's lock is held.
func (r *recipient) change(request string) {
	r.dirty[request] = struct{}{}
	r.wakeUp()
}

// forgets notes a request that is to be forgotten; the teller's lock is held.
func (r *recipient) forgets(request string) {
	if len(r.forget) < maxForget {
		r.forget = append(r.forget, request)
	}
	r.wakeUp()
}

// wait adds a request that waits for the witness; the teller's lock is held.
func (r *recipient) wait(done chan error) {
	if r.failing {
		done <- result.New(result.NoWitness, "no witness answers")
		return
	}
	r.waiting = append(r.waiting, done)
}

func (r *recipient) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run sends until ctx ends.
func (r *recipient) run(ctx context.Context) {
	clock := r.teller.c.Clock
	ticker := clock.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-ticker.Chan():
		}
		if r.gather > 0 {
			select {
			case <-ctx.Done():
				return
			case <-clock.After(r.gather):
			}
		}
		r.round(ctx)
	}
}

// round sends what changed to the witness; when it doesn't answer or isn't a
// candidate any more, everything to the next one.
func (r *recipient) round(ctx context.Context) {
	candidates := r.candidates()
	if !r.changed() && contains(candidates, r.current()) {
		return
	}
	waiting := r.takeWaiting()
	err := error(result.New(result.NoWitness, "no other node answers"))
	for _, candidate := range r.inOrder(candidates) {
		if err = r.send(ctx, candidate); err == nil {
			break
		}
	}
	r.setFailing(err != nil && !r.teller.c.OnlyNode())
	for _, done := range waiting {
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

func (r *recipient) current() Candidate {
	r.teller.mu.Lock()
	defer r.teller.mu.Unlock()
	return r.witness
}

func (r *recipient) changed() bool {
	r.teller.mu.Lock()
	defer r.teller.mu.Unlock()
	return len(r.dirty) > 0 || len(r.forget) > 0 || len(r.waiting) > 0
}

func (r *recipient) takeWaiting() []chan error {
	r.teller.mu.Lock()
	defer r.teller.mu.Unlock()
	waiting := r.waiting
	r.waiting = nil
	return waiting
}

func (r *recipient) setFailing(failing bool) {
	r.teller.mu.Lock()
	defer r.teller.mu.Unlock()
	r.failing = failing
}

// inOrder puts the present witness first, while it is a candidate.
func (r *recipient) inOrder(candidates []Candidate) []Candidate {
	present := r.current()
	if !contains(candidates, present) || len(candidates) == 0 {
		return candidates
	}
	ordered := []Candidate{present}
	for _, candidate := range candidates {
		if candidate != present {
			ordered = append(ordered, candidate)
		}
	}
	return ordered
}

// send brings a candidate up to date and makes it the witness. A new witness knows
// nothing, so it gets all entries and not only those that changed.
func (r *recipient) send(ctx context.Context, to Candidate) error {
	isNew := to != r.current()
	if isNew {
		r.markAllDirty()
	}
	for {
		message, more := r.nextMessage()
		if err := r.teller.exchange(ctx, to, message); err != nil {
			r.putBack(message)
			return err
		}
		if !more {
			break
		}
	}
	if isNew {
		r.teller.mu.Lock()
		r.witness = to
		r.teller.mu.Unlock()
		r.teller.c.Events.Record(event.WitnessChanged, "witness", to.Incarnation)
	}
	return nil
}

func (t *Replicator) exchange(ctx context.Context, to Candidate, message *fleetv1.Witness) error {
	ctx, cancel := clockwork.WithTimeout(ctx, t.c.Clock, sendTimeout)
	defer cancel()
	response, err := t.c.Caller.Call(ctx, to.Address, &fleetv1.Request{
		From: t.c.Incarnation, Hlc: uint64(t.c.Events.Clock().Now()), Body: &fleetv1.Request_Witness{Witness: message},
	})
	if err != nil {
		return err
	}
	if code := result.Code(response.GetCode()); code != result.OK {
		return result.New(code, "%s", response.GetMessage())
	}
	return nil
}

func (r *recipient) markAllDirty() {
	r.teller.mu.Lock()
	defer r.teller.mu.Unlock()
	for request := range r.teller.entries {
		r.dirty[request] = struct{}{}
	}
}

func (r *recipient) nextMessage() (message *fleetv1.Witness, more bool) {
	r.teller.mu.Lock()
	defer r.teller.mu.Unlock()
	message = &fleetv1.Witness{Forget: r.forget}
	r.forget = nil
	for request := range r.dirty {
		if len(message.Open) == maxPerMessage {
			return message, true
		}
		delete(r.dirty, request)
		message.Open = append(message.Open, r.teller.entries[request])
	}
	return message, false
}

// putBack queues a message again that nobody took in. What ended meanwhile stays ended.
func (r *recipient) putBack(message *fleetv1.Witness) {
	r.teller.mu.Lock()
	defer r.teller.mu.Unlock()
	for _, open := range message.GetOpen() {
		if r.teller.entries[open.GetRequest()] != nil {
			r.dirty[open.GetRequest()] = struct{}{}
		}
	}
	r.forget = append(message.GetForget(), r.forget...)
	r.forget = r.forget[:min(maxForget, len(r.forget))]
}
