package witness

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/peer"
	"lavenderpin.dev/lavenderpin/result"
)

// tellTimeout bounds how long a request waits before dispatch: two witnesses in turn.
const tellTimeout = 2 * sendTimeout

// Candidate is a node that may be a witness, in order of preference.
type Candidate struct {
	Incarnation string
	Address     string
	DataCentre  string
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
	// OnlyNode tells whether the log holds no other node open. A fleet of one node has
	// no witness and dispatches without.
	OnlyNode func() bool
	// LogReachable tells whether settlements reach the log at once.
	LogReachable func() bool
	// Required refuses to dispatch what nobody could be told of, even while the log is
	// in reach.
	Required bool
}

// Replicator tells two other nodes of this node's open requests. A request waits for the
// first one before its dispatch; requests that come while an exchange is under way go
// together with the next one. The second is told the same without anybody waiting:
// did the node die together with its only witness, whatever neither had put into the
// log yet would be billed to nobody. It implements budget.Witness and is safe for
// concurrent use.
type Replicator struct {
	c Config

	mu sync.Mutex
	// entries holds what isn't known to be settled in the log, by request id.
	entries       map[string]*fleetv1.OpenRequest
	first, second *recipient
}

var _ budget.Witness = (*Replicator)(nil)

// NewReplicator returns a teller; Run must be running for Tell to succeed.
func NewReplicator(config Config) *Replicator {
	t := &Replicator{c: config, entries: map[string]*fleetv1.OpenRequest{}}
	t.first = newRecipient(t, config.Candidates, 0)
	t.second = newRecipient(t, t.secondCandidates, copyGather)
	return t
}

// secondCandidates leaves out the first witness and puts those last that stand in its
// data centre: the loss of one data centre must not take the node and both witnesses.
func (t *Replicator) secondCandidates() []Candidate {
	first := t.first.current()
	var elsewhere, beside []Candidate
	for _, candidate := range t.c.Candidates() {
		switch {
		case candidate == first:
		case candidate.DataCentre == first.DataCentre:
			beside = append(beside, candidate)
		default:
			elsewhere = append(elsewhere, candidate)
		}
	}
	return append(elsewhere, beside...)
}

// Tell implements budget.Witness. It fails with NoWitness when nobody could be told
// and the policy requires that, or the log is out of reach too: the node could then
// spend for hours what the fleet would never learn of if it died.
func (t *Replicator) Tell(ctx context.Context, open ...*fleetv1.OpenRequest) error {
	done := t.queue(open)
	if t.c.OnlyNode() {
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

func (t *Replicator) queue(open []*fleetv1.OpenRequest) <-chan error {
	done := make(chan error, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range open {
		t.entries[o.GetRequest()] = o
		t.change(o.GetRequest())
	}
	t.first.wait(done)
	return done
}

// change has both witnesses told of a request; the lock is held.
func (t *Replicator) change(request string) {
	t.first.change(request)
	t.second.change(request)
}

func (t *Replicator) wait(ctx context.Context, done <-chan error) error {
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
func (t *Replicator) Ended(request string, used uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.entries[request]
	if held == nil {
		return
	}
	if budget.BilledTokens(held, used) == 0 {
		t.drop(request)
		t.first.forgets(request)
		t.second.forgets(request)
		return
	}
	t.entries[request] = &fleetv1.OpenRequest{
		Request: request, Budget: held.GetBudget(), Reserved: held.GetReserved(), Upstream: held.GetUpstream(),
		Before: held.GetBefore(), DispatchedAs: held.GetDispatchedAs(), Finished: true, Used: used,
	}
	t.change(request)
}

func (t *Replicator) drop(request string) {
	delete(t.entries, request)
	delete(t.first.dirty, request)
	delete(t.second.dirty, request)
}

// Report returns what this node itself has open of requests billed to another
// incarnation: parts that it borrowed there.
func (t *Replicator) Report(incarnation string) []*fleetv1.OpenRequest {
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
func (t *Replicator) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// Folded forgets what the log shows to be settled. The witness folds the same
// entries, so it need not be told.
func (t *Replicator) Folded(batch *recordv1.Batch, verdicts []fold.Verdict) {
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

func (t *Replicator) dropAll(incarnation string) {
	for request := range t.entries {
		if id, ok := budget.ParseRequestID(request); ok && id.Incarnation == incarnation {
			t.drop(request)
		}
	}
}

// Run sends until ctx ends.
func (t *Replicator) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { t.first.run(ctx) })
	wait.Go(func() { t.second.run(ctx) })
	wait.Wait()
}

// HandOver hands what this node remembers for others to another node, before it leaves.
func (t *Replicator) HandOver(ctx context.Context, remembered []*fleetv1.OpenRequest) error {
	if len(remembered) == 0 {
		return nil
	}
	err := error(result.New(result.NoWitness, "no other node answers"))
	for _, candidate := range t.c.Candidates() {
		if err = t.SendRequests(ctx, candidate, remembered); err == nil {
			return nil
		}
	}
	return err
}

// SendRequests hands requests to one node, in as many messages as they need.
func (t *Replicator) SendRequests(ctx context.Context, to Candidate, remembered []*fleetv1.OpenRequest) error {
	for len(remembered) > 0 {
		n := min(maxPerMessage, len(remembered))
		if err := t.exchange(ctx, to, &fleetv1.Witness{Open: remembered[:n]}); err != nil {
			return err
		}
		remembered = remembered[n:]
	}
	return nil
}
