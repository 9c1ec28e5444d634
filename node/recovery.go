package node

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/recovery"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	// closedSettleTimeout bounds how long a closed node waits for its requests to end and then
	// for its settlements to reach the log, before a new incarnation takes its place.
	closedSettleTimeout = 2 * time.Minute
	// closedAnswerTime is how long a closed node goes on answering queries as a witness: nodes
	// cut off together are closed together, and each may be the other's witness. A node that
	// has nothing to report must say so too, or it counts as gone.
	closedAnswerTime = 20 * time.Second
	// handOverRetry is the delay between two attempts to hand over witnessed requests.
	handOverRetry = time.Second
	// engineQueryTimeout bounds one recovery query to an engine.
	engineQueryTimeout = 2 * time.Second
)

func (n *Node) newRecoverer(b budgets) *recovery.Recoverer {
	return recovery.New(recovery.Config{
		Incarnation: n.Incarnation(), Clock: n.deps.Clock, Ledger: n.ledger, Lender: b.lender, Log: n.writer,
		Caller: n.deps.Peers, Events: n.events, Watcher: b.watcher, Store: b.witnessStore, Replicator: b.replicator,
		Engines: n.recoveryEngines(), Suspect: n.isSuspect, LostAfter: n.settings.BudgetPolicy.LostAfter,
		PlatformAddresses: n.instances.EntryAddresses, PeerAddress: n.settings.PeerAddress,
	})
}

func (n *Node) isSuspect(incarnation string) bool { return n.members.Suspects(incarnation) }

func (n *Node) newSilentSettler(b budgets) *recovery.SilentSettler {
	return recovery.NewSilentSettler(recovery.SilentSettlerConfig{
		Clock: n.deps.Clock, Ledger: n.ledger, Log: n.writer, Store: b.witnessStore, Events: n.events,
		Suspect: n.isSuspect, MayWrite: func() bool { return n.logReachable() && n.allApplyWitnessed() },
	})
}

// settleClosed lets a closed node settle its requests in the log, as it alone knows for sure
// what they used. It then releases its own shares, which ends the recovery by others. If it
// stopped at once, others would settle from what was reported to them.
func (n *Node) settleClosed(ctx context.Context) {
	n.pollUntil(ctx, func() bool { return n.holder.OpenReservations() == 0 && n.budgets.borrower.UnsettledParts() == 0 }, closedSettleTimeout)
	finish, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		n.pollUntil(finish, func() bool { return false }, closedSettleTimeout)
		cancel()
	}()
	if n.holder.OpenReservations() == 0 && n.flushAll(finish) && n.handOverAllWitnessed(finish) {
		_, _ = n.writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{
			Incarnation: n.Incarnation(),
		}}}).Wait(finish)
	}
	n.pollUntil(ctx, func() bool { return false }, closedAnswerTime)
}

// handOverAllWitnessed retries until another node has taken over the requests that this node
// witnesses, and then returns true; it returns false when ctx is done. A release ends the
// incarnation, and a node that recovers a third one counts ended incarnations as already
// queried. If this node ended before anyone queried it, the requests that it alone witnessed
// would never be billed.
func (n *Node) handOverAllWitnessed(ctx context.Context) bool {
	for n.handOverWitnessed(ctx) != nil && ctx.Err() == nil {
		n.pollUntil(ctx, func() bool { return false }, handOverRetry)
	}
	return ctx.Err() == nil
}

// flushAll returns true once every settlement is applied. Only the writer's source may take
// settlements from the holder: it does so while a batch is built, so that they reach the log in
// the order of the oldest-open counters beside them. Settlements taken here could be appended
// after a batch with a higher counter and would then be skipped as already settled: the account
// would be billed too little.
func (n *Node) flushAll(ctx context.Context) bool {
	for {
		pending := n.holder.PendingSettlements()
		// The batch with this entry also contains the settlements that the source has taken by then.
		ticket := n.writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_Settlements{
			Settlements: &recordv1.SettlementBatch{Incarnation: n.Incarnation()},
		}})
		if _, err := ticket.Wait(ctx); err != nil {
			return false
		}
		if pending == 0 {
			return true
		}
	}
}

// recoveryEngines adapts the upstream client to recovery.Engines.
func (n *Node) recoveryEngines() recovery.Engines { return engineClient{n} }

type engineClient struct{ node *Node }

func (e engineClient) lookup(name string) *operatorv1.Upstream {
	return e.node.Config().Upstream(name)
}

// ReportsUsage implements recovery.Engines.
func (e engineClient) ReportsUsage(name string) bool {
	engine := e.lookup(name)
	if engine == nil {
		return false
	}
	service := e.node.Config().Service(engine.GetService())
	return service.GetKind() != operatorv1.ServiceKind_SERVICE_KIND_PLAIN
}

// Reachable implements recovery.Engines. Another region counts as cut off while it has nodes
// that aren't known to have ended and all of them are suspected.
func (e engineClient) Reachable(name string) bool {
	region := e.lookup(name).GetRegion()
	if region == e.node.settings.Region {
		return true
	}
	cut := false
	for id, i := range e.node.ledger.Incarnations() {
		if i.Node.GetRegion() != region || i.Replaced {
			continue
		}
		if !e.node.isSuspect(id) {
			return true
		}
		cut = true
	}
	return !cut
}

// Usage implements recovery.Engines.
func (e engineClient) Usage(ctx context.Context, name, request string) (upstream.UsageReport, error) {
	engine := e.lookup(name)
	if engine == nil {
		return upstream.UsageReport{}, errors.NotFoundf("upstream %s", name)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.node.deps.Clock, engineQueryTimeout)
	defer cancel()
	return e.node.upstreams.Usage(ctx, engine, request)
}

// Cancel implements recovery.Engines.
func (e engineClient) Cancel(ctx context.Context, name, request string) error {
	engine := e.lookup(name)
	if engine == nil {
		return errors.NotFoundf("upstream %s", name)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.node.deps.Clock, engineQueryTimeout)
	defer cancel()
	return e.node.upstreams.Cancel(ctx, engine, request)
}
