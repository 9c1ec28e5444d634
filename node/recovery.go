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
	// closedFinish bounds how long a closed node waits for its requests to end and
	// for what it knows to reach the log, before a new incarnation takes its place.
	closedFinish = 2 * time.Minute
	// closedLinger is how long a closed node goes on answering what it remembers for
	// others: nodes cut off together are closed together, and each may be the other's
	// witness. One that remembers nothing must say so too, or it counts as gone.
	closedLinger = 20 * time.Second
	// passOnRetry is the time between two tries to pass on what the node remembers.
	passOnRetry = time.Second
	// engineTimeout bounds one question of recovery to an engine.
	engineTimeout = 2 * time.Second
)

func (n *Node) newRecoverer(b budgets) *recovery.Recoverer {
	return recovery.New(recovery.Config{
		Incarnation: n.Incarnation(), Clock: n.deps.Clock, Ledger: n.ledger, Lender: b.lender, Journal: n.writer,
		Caller: n.deps.Peers, Events: n.events, Watcher: b.watcher, Store: b.memory, Replicator: b.teller,
		Engines: n.engines(), Suspect: n.isSuspect, LostAfter: n.settings.BudgetPolicy.LostAfter,
		PlatformAddresses: n.instances.EntryAddresses, PeerAddress: n.settings.PeerAddress,
	})
}

func (n *Node) isSuspect(incarnation string) bool { return n.members.Suspects(incarnation) }

func (n *Node) newSilentSettler(b budgets) *recovery.SilentSettler {
	return recovery.NewSilentSettler(recovery.SilentSettlerConfig{
		Clock: n.deps.Clock, Ledger: n.ledger, Journal: n.writer, Store: b.memory, Events: n.events,
		Suspect: n.isSuspect, MayWrite: func() bool { return n.logReachable() && n.allFoldWitnessed() },
	})
}

// settleClosed lets a closed node put into the log what it alone knows for sure:
// what its requests used. It then releases its own shares, which ends the recovery
// by others. Did it stop at once, others would settle from what they were told.
func (n *Node) settleClosed(ctx context.Context) {
	n.wait(ctx, func() bool { return n.holder.OpenReservations() == 0 && n.budgets.borrower.UnsettledParts() == 0 }, closedFinish)
	finish, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		n.wait(finish, func() bool { return false }, closedFinish)
		cancel()
	}()
	if n.holder.OpenReservations() == 0 && n.flushAll(finish) && n.passOnAll(finish) {
		_, _ = n.writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{
			Incarnation: n.Incarnation(),
		}}}).Wait(finish)
	}
	n.wait(ctx, func() bool { return false }, closedLinger)
}

// passOnAll returns true once another node has taken over what this one remembers of
// others' requests. A release ends the incarnation, and whoever recovers a third node
// takes one that has ended for asked: did this one end with what it was told, while
// nobody had come to ask yet, those requests would be billed to nobody.
func (n *Node) passOnAll(ctx context.Context) bool {
	for n.passOnWitnessed(ctx) != nil && ctx.Err() == nil {
		n.wait(ctx, func() bool { return false }, passOnRetry)
	}
	return ctx.Err() == nil
}

// flushAll returns true once every settlement is folded. The writer's source alone
// takes settlements: it does so while a batch is built, so that they reach the log in
// the order of the oldest open counters beside them. Taken here they could be
// appended after a batch with a higher counter, and the fold would pass them over as
// settled: the account would be billed too little.
func (n *Node) flushAll(ctx context.Context) bool {
	for {
		left := n.holder.PendingSettlements()
		// The batch that carries this entry carries what the source has taken by then.
		ticket := n.writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_Settlements{
			Settlements: &recordv1.SettlementBatch{Incarnation: n.Incarnation()},
		}})
		if _, err := ticket.Wait(ctx); err != nil {
			return false
		}
		if left == 0 {
			return true
		}
	}
}

// engines adapts the upstream client to what recovery asks.
func (n *Node) engines() recovery.Engines { return namedEngines{n} }

type namedEngines struct{ node *Node }

func (e namedEngines) find(name string) *operatorv1.Upstream {
	return e.node.Config().Upstream(name)
}

// ReportsUsage implements recovery.Engines.
func (e namedEngines) ReportsUsage(name string) bool {
	found := e.find(name)
	if found == nil {
		return false
	}
	service := e.node.Config().Service(found.GetService())
	return service.GetKind() != operatorv1.ServiceKind_SERVICE_KIND_PLAIN
}

// Reachable implements recovery.Engines. A region is cut off while nodes there are neither
// known to have ended nor answer.
func (e namedEngines) Reachable(name string) bool {
	region := e.find(name).GetRegion()
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
func (e namedEngines) Usage(ctx context.Context, name, request string) (upstream.UsageReport, error) {
	found := e.find(name)
	if found == nil {
		return upstream.UsageReport{}, errors.NotFoundf("upstream %s", name)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.node.deps.Clock, engineTimeout)
	defer cancel()
	return e.node.deps.Upstreams.Usage(ctx, found, request)
}

// Cancel implements recovery.Engines.
func (e namedEngines) Cancel(ctx context.Context, name, request string) error {
	found := e.find(name)
	if found == nil {
		return errors.NotFoundf("upstream %s", name)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.node.deps.Clock, engineTimeout)
	defer cancel()
	return e.node.deps.Upstreams.Cancel(ctx, found, request)
}
