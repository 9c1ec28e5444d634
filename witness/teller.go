package witness

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// sendTimeout bounds one exchange with a witness.
	sendTimeout = 300 * time.Millisecond
	// tellTimeout bounds how long a request waits before dispatch: two witnesses in turn.
	tellTimeout = 2 * sendTimeout
	// retryInterval is the time between two tries while nobody answers, and between
	// two looks at whether the witness still is a good one.
	retryInterval = time.Second
	// maxPerMessage bounds one message.
	maxPerMessage = 2000
	// maxForget bounds what a witness is yet to be told to forget. It would find out
	// from the log as well, a little later.
	maxForget = 10_000
)

// Candidate is a node that may be a witness, in order of preference.
type Candidate struct {
	Incarnation string
	Address     string
}

// Config is what a Teller works with.
type Config struct {
	Incarnation string
	Clock       clockwork.Clock
	Caller      peer.Caller
	Events      *event.Recorder
	// Candidates lists the nodes that answer, best first: another data centre of the
	// region, then the own one, then other regions.
	Candidates func() []Candidate
	// Alone tells whether the log holds no other node open. A fleet of one node has
	// no witness and dispatches without.
	Alone func() bool
	// LogReachable tells whether settlements reach the log at once.
	LogReachable func() bool
	// Required refuses to dispatch what nobody could be told of, even while the log is
	// in reach.
	Required bool
}

// Teller tells one other node of this node's open requests. Requests that come
// while an exchange is under way go together with the next one. It implements
// budget.Witness and is safe for concurrent use.
type Teller struct {
	c    Config
	wake chan struct{}

	mu sync.Mutex
	// entries holds what isn't known to be settled in the log, by request id.
	entries map[string]*fleetv1.OpenRequest
	dirty   map[string]struct{}
	forget  []string
	waiting []chan error
	witness Candidate
	// failing is set while no witness answers: requests then don't wait for one.
	failing bool
}

var _ budget.Witness = (*Teller)(nil)

// NewTeller returns a teller; Run must be running for Tell to succeed.
func NewTeller(config Config) *Teller {
	return &Teller{
		c: config, wake: make(chan struct{}, 1),
		entries: map[string]*fleetv1.OpenRequest{}, dirty: map[string]struct{}{},
	}
}

// Tell implements budget.Witness. It fails with NoWitness when nobody could be told
// and the policy requires that, or the log is out of reach too: the node could then
// spend for hours what the fleet would never learn of if it died.
func (t *Teller) Tell(ctx context.Context, open ...*fleetv1.OpenRequest) error {
	done := t.queue(open)
	if t.c.Alone() {
		return nil
	}
	if err := t.wait(ctx, done); err == nil {
		return nil
	}
	if t.c.Required || !t.c.LogReachable() {
		return result.New(result.NoWitness, "no other node could be told of the request").After(retryInterval)
	}
	t.c.Events.Record(event.Unwitnessed, "request", open[0].GetRequest())
	return nil
}

func (t *Teller) queue(open []*fleetv1.OpenRequest) <-chan error {
	done := make(chan error, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range open {
		t.entries[o.GetRequest()] = o
		t.dirty[o.GetRequest()] = struct{}{}
	}
	if t.failing {
		done <- result.New(result.NoWitness, "no witness answers")
	} else {
		t.waiting = append(t.waiting, done)
	}
	t.wakeUp()
	return done
}

func (t *Teller) wait(ctx context.Context, done <-chan error) error {
	ctx, cancel := clockwork.WithTimeout(ctx, t.c.Clock, tellTimeout)
	defer cancel()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ended implements budget.Witness. A request that is billed nothing never shows in
// the log, so the witness is told to forget it.
func (t *Teller) Ended(request string, used uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.entries[request]
	if held == nil {
		return
	}
	if budget.BilledTo(held, used) == 0 {
		t.drop(request)
		if len(t.forget) < maxForget {
			t.forget = append(t.forget, request)
		}
		t.wakeUp()
		return
	}
	t.entries[request] = &fleetv1.OpenRequest{
		Request: request, Budget: held.GetBudget(), Reserved: held.GetReserved(), Upstream: held.GetUpstream(),
		Before: held.GetBefore(), DispatchedAs: held.GetDispatchedAs(), Finished: true, Used: used,
	}
	t.dirty[request] = struct{}{}
	t.wakeUp()
}

func (t *Teller) drop(request string) {
	delete(t.entries, request)
	delete(t.dirty, request)
}

func (t *Teller) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Report returns what this node itself has open of requests billed to another
// incarnation: parts that it borrowed there.
func (t *Teller) Report(incarnation string) []*fleetv1.OpenRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []*fleetv1.OpenRequest
	for request, entry := range t.entries {
		if id, ok := budget.ParseRequestID(request); ok && id.Incarnation == incarnation {
			open = append(open, entry)
		}
	}
	return open
}

// Len returns how many requests aren't known to be settled in the log.
func (t *Teller) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Folded forgets what the log shows to be settled. The witness folds the same
// entries, so it need not be told.
func (t *Teller) Folded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, verdict := range verdicts {
		if settled := batch.GetEntries()[i].GetSettlements(); verdict.OK() && settled != nil {
			for _, s := range settled.GetSettlements() {
				t.drop(s.GetRequest())
			}
		}
		if done := batch.GetEntries()[i].GetRecoveryDone(); verdict.OK() && done != nil {
			t.dropAll(done.GetIncarnation())
		}
	}
}

func (t *Teller) dropAll(incarnation string) {
	for request := range t.entries {
		if id, ok := budget.ParseRequestID(request); ok && id.Incarnation == incarnation {
			t.drop(request)
		}
	}
}

// Run sends until ctx ends.
func (t *Teller) Run(ctx context.Context) {
	ticker := t.c.Clock.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-ticker.Chan():
		}
		t.round(ctx)
	}
}

// round sends what changed to the witness; when it doesn't answer or isn't a
// candidate any more, everything to the next one.
func (t *Teller) round(ctx context.Context) {
	candidates := t.c.Candidates()
	if !t.changed() && contains(candidates, t.witness) {
		return
	}
	waiting := t.takeWaiting()
	err := error(result.New(result.NoWitness, "no other node answers"))
	for _, candidate := range t.inOrder(candidates) {
		if err = t.send(ctx, candidate); err == nil {
			break
		}
	}
	t.setFailing(err != nil && !t.c.Alone())
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

func (t *Teller) changed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.dirty) > 0 || len(t.forget) > 0 || len(t.waiting) > 0
}

func (t *Teller) takeWaiting() []chan error {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := t.waiting
	t.waiting = nil
	return waiting
}

func (t *Teller) setFailing(failing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = failing
}

// inOrder puts the present witness first, while it is a candidate.
func (t *Teller) inOrder(candidates []Candidate) []Candidate {
	if !contains(candidates, t.witness) || len(candidates) == 0 {
		return candidates
	}
	ordered := []Candidate{t.witness}
	for _, candidate := range candidates {
		if candidate != t.witness {
			ordered = append(ordered, candidate)
		}
	}
	return ordered
}

// send brings a candidate up to date and makes it the witness. A new witness knows
// nothing, so it gets all entries and not only those that changed.
func (t *Teller) send(ctx context.Context, to Candidate) error {
	if to != t.witness {
		t.markAllDirty()
	}
	for {
		message, more := t.nextMessage()
		if err := t.exchange(ctx, to, message); err != nil {
			t.putBack(message)
			return err
		}
		if !more {
			break
		}
	}
	if to != t.witness {
		t.witness = to
		t.c.Events.Record(event.WitnessChanged, "witness", to.Incarnation)
	}
	return nil
}

func (t *Teller) exchange(ctx context.Context, to Candidate, message *fleetv1.Witness) error {
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

func (t *Teller) markAllDirty() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for request := range t.entries {
		t.dirty[request] = struct{}{}
	}
}

func (t *Teller) nextMessage() (message *fleetv1.Witness, more bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	message = &fleetv1.Witness{Forget: t.forget}
	t.forget = nil
	for request := range t.dirty {
		if len(message.Open) == maxPerMessage {
			return message, true
		}
		delete(t.dirty, request)
		message.Open = append(message.Open, t.entries[request])
	}
	return message, false
}

// putBack queues a message again that nobody took in. What ended meanwhile stays ended.
func (t *Teller) putBack(message *fleetv1.Witness) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, open := range message.GetOpen() {
		if t.entries[open.GetRequest()] != nil {
			t.dirty[open.GetRequest()] = struct{}{}
		}
	}
	t.forget = append(message.GetForget(), t.forget...)
}

// Pass hands what this node remembers for others to another node, before it leaves.
func (t *Teller) Pass(ctx context.Context, remembered []*fleetv1.OpenRequest) error {
	if len(remembered) == 0 {
		return nil
	}
	err := error(result.New(result.NoWitness, "no other node answers"))
	for _, candidate := range t.c.Candidates() {
		if err = t.passTo(ctx, candidate, remembered); err == nil {
			return nil
		}
	}
	return err
}

func (t *Teller) passTo(ctx context.Context, to Candidate, remembered []*fleetv1.OpenRequest) error {
	for len(remembered) > 0 {
		n := min(maxPerMessage, len(remembered))
		if err := t.exchange(ctx, to, &fleetv1.Witness{Open: remembered[:n]}); err != nil {
			return err
		}
		remembered = remembered[n:]
	}
	return nil
}
