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

// waitTimeout bounds how long a request waits before dispatch: time to try two witnesses.
const waitTimeout = 2 * exchangeTimeout

// Candidate is a node that may act as a witness.
type Candidate struct {
	Incarnation string
	Address     string
	DataCentre  string
}

// Config configures a Replicator.
type Config struct {
	Incarnation string
	Clock       clockwork.Clock
	Caller      peer.Caller
	Events      *event.Recorder
	// Candidates returns the nodes that answer, best first: other data centres of the
	// region, then this node's data centre, then other regions.
	Candidates func() []Candidate
	// OnlyNode reports whether no other node is open in the log. A fleet of one node has
	// no witness and dispatches without one.
	OnlyNode func() bool
	// LogReachable reports whether settlements reach the log without delay.
	LogReachable func() bool
	// Required makes RecordOpen fail if no witness could be reached, even while the log is
	// reachable.
	Required bool
}

// Replicator replicates this node's open requests to two other nodes. A request waits for
// the first witness before its dispatch; requests that arrive during an exchange are
// batched into the next one. The second witness is updated asynchronously: if the node
// died together with its only witness, requests that neither had settled in the log would
// not be billed to anybody. It implements budget.Witness and is safe for concurrent use.
type Replicator struct {
	config Config

	mu sync.Mutex
	// entries holds the requests not known to be settled in the log, by request ID.
	entries       map[string]*fleetv1.OpenRequest
	first, second *witnessQueue
}

var _ budget.Witness = (*Replicator)(nil)

// NewReplicator returns a Replicator; Run must be running for RecordOpen to succeed.
func NewReplicator(config Config) *Replicator {
	r := &Replicator{config: config, entries: map[string]*fleetv1.OpenRequest{}}
	r.first = newWitnessQueue(r, config.Candidates, 0)
	r.second = newWitnessQueue(r, r.secondCandidates, secondBatchDelay)
	return r
}

// secondCandidates excludes the first witness and puts nodes in its data centre last: the
// loss of one data centre must not take out the node and both witnesses.
func (r *Replicator) secondCandidates() []Candidate {
	first := r.first.current()
	var otherDataCentres, sameDataCentre []Candidate
	for _, candidate := range r.config.Candidates() {
		switch {
		case candidate == first:
		case candidate.DataCentre == first.DataCentre:
			sameDataCentre = append(sameDataCentre, candidate)
		default:
			otherDataCentres = append(otherDataCentres, candidate)
		}
	}
	return append(otherDataCentres, sameDataCentre...)
}

// RecordOpen implements budget.Witness. It fails with NoWitness if no witness could be reached
// and the policy requires one or the log is unreachable too: the node could then spend
// tokens for hours, and the fleet would never learn of it if the node died.
func (r *Replicator) RecordOpen(ctx context.Context, open ...*fleetv1.OpenRequest) error {
	done := r.enqueue(open)
	if r.config.OnlyNode() {
		return nil
	}
	if err := r.awaitFirst(ctx, done); err == nil {
		return nil
	}
	if r.config.Required || !r.config.LogReachable() {
		return result.New(result.NoWitness, "no other node could be told of the request").WithRetryAfter(retryInterval)
	}
	r.config.Events.Record(event.Unwitnessed, "request", open[0].GetRequest())
	return nil
}

func (r *Replicator) enqueue(open []*fleetv1.OpenRequest) <-chan error {
	done := make(chan error, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range open {
		r.entries[o.GetRequest()] = o
		r.markDirty(o.GetRequest())
	}
	r.first.addWaiter(done)
	return done
}

// markDirty queues a request for both witnesses. The caller holds r.mu.
func (r *Replicator) markDirty(request string) {
	r.first.markDirty(request)
	r.second.markDirty(request)
}

func (r *Replicator) awaitFirst(ctx context.Context, done <-chan error) error {
	ctx, cancel := clockwork.WithTimeout(ctx, r.config.Clock, waitTimeout)
	defer cancel()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RecordEnded implements budget.Witness. A request that is billed nothing never appears in
// the log, so the witnesses are told to forget it.
func (r *Replicator) RecordEnded(request string, used uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.entries[request]
	if entry == nil {
		return
	}
	if budget.BilledTokens(entry, used) == 0 {
		r.remove(request)
		r.first.queueForget(request)
		r.second.queueForget(request)
		return
	}
	r.entries[request] = &fleetv1.OpenRequest{
		Request: request, Budget: entry.GetBudget(), Reserved: entry.GetReserved(), Upstream: entry.GetUpstream(),
		Before: entry.GetBefore(), DispatchedAs: entry.GetDispatchedAs(), Finished: true, Used: used,
	}
	r.markDirty(request)
}

func (r *Replicator) remove(request string) {
	delete(r.entries, request)
	delete(r.first.dirty, request)
	delete(r.second.dirty, request)
}

// Report returns this node's open requests that are billed to another incarnation: parts
// borrowed from it.
func (r *Replicator) Report(incarnation string) []*fleetv1.OpenRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var open []*fleetv1.OpenRequest
	for request, entry := range r.entries {
		if id, ok := budget.ParseRequestID(request); ok && id.Incarnation == incarnation {
			open = append(open, entry)
		}
	}
	return open
}

// Len returns the number of requests not known to be settled in the log.
func (r *Replicator) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// HandleFolded removes the requests that the log shows as settled. The witnesses fold the same
// entries, so they need no message.
func (r *Replicator) HandleFolded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, verdict := range verdicts {
		if settled := batch.GetEntries()[i].GetSettlements(); verdict.OK() && settled != nil {
			for _, s := range settled.GetSettlements() {
				r.remove(s.GetRequest())
			}
		}
		if done := batch.GetEntries()[i].GetRecoveryDone(); verdict.OK() && done != nil {
			r.removeAll(done.GetIncarnation())
		}
	}
}

func (r *Replicator) removeAll(incarnation string) {
	for request := range r.entries {
		if id, ok := budget.ParseRequestID(request); ok && id.Incarnation == incarnation {
			r.remove(request)
		}
	}
}

// Run sends updates to both witnesses until ctx is done.
func (r *Replicator) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Go(func() { r.first.run(ctx) })
	wait.Go(func() { r.second.run(ctx) })
	wait.Wait()
}

// HandOver sends the requests that this node stores for others to another node, before
// this node leaves.
func (r *Replicator) HandOver(ctx context.Context, requests []*fleetv1.OpenRequest) error {
	if len(requests) == 0 {
		return nil
	}
	err := error(result.New(result.NoWitness, "no other node answers"))
	for _, candidate := range r.config.Candidates() {
		if err = r.SendRequests(ctx, candidate, requests); err == nil {
			return nil
		}
	}
	return err
}

// SendRequests sends requests to one node, in messages of at most maxPerMessage.
func (r *Replicator) SendRequests(ctx context.Context, to Candidate, requests []*fleetv1.OpenRequest) error {
	for len(requests) > 0 {
		n := min(maxPerMessage, len(requests))
		if err := r.exchange(ctx, to, &fleetv1.Witness{Open: requests[:n]}); err != nil {
			return err
		}
		requests = requests[n:]
	}
	return nil
}
