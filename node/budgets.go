package node

import (
	"context"
	"sync"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/recovery"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/witness"
)

// maxLogReadAge is how long after the last completed read the log still counts as reachable.
// A read waits at most one second for new records.
const maxLogReadAge = 5 * time.Second

// budgets groups the components of a node that spend prepaid tokens and recover them from
// dead nodes.
type budgets struct {
	reserver      *budget.Reserver
	lender        *budget.Lender
	borrower      *budget.Borrower
	sizer         *budget.Sizer
	witnessStore  *witness.Store
	replicator    *witness.Replicator
	watcher       *recovery.Watcher
	recoverer     *recovery.Recoverer
	silentSettler *recovery.SilentSettler
	copier        *witness.Copier
	stopped       chan struct{}
}

func (n *Node) newBudgets() budgets {
	b := budgets{
		lender:       budget.NewLender(n.holder, n.ledger, n.events),
		borrower:     budget.NewBorrower(n.Incarnation(), n.deps.Clock, n.deps.Peers, n.ledger, n.events),
		stopped:      make(chan struct{}),
		witnessStore: witness.NewStore(),
		replicator:   n.newReplicator(),
		watcher:      recovery.NewWatcher(n.Incarnation(), n.deps.Clock, n.ledger, n.logReachable),
	}
	b.reserver = budget.NewReserver(budget.ReserverConfig{
		Holder: n.holder, Ledger: n.ledger, Log: n.writer, Events: n.events, ClaimChunk: n.settings.ClaimChunk,
		Borrower: b.borrower, Peers: n.budgetPeers, LogReachable: n.logReachable, Witness: b.replicator,
		Stopped: b.stopped,
	})
	b.sizer = budget.NewSizer(n.settings.BudgetPolicy, b.reserver)
	b.recoverer = n.newRecoverer(b)
	b.silentSettler = n.newSilentSettler(b)
	b.copier = witness.NewCopier(witness.CopierConfig{
		Clock: n.deps.Clock, Store: b.witnessStore, Candidates: n.witnessCandidates, Suspect: n.isSuspect, Send: b.replicator.SendRequests,
	})
	return b
}

func (b *budgets) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){b.borrower.Run, b.sizer.Run, b.replicator.Run, b.recoverer.Run, b.silentSettler.Run, b.copier.Run} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	close(b.stopped)
}

func (b *budgets) batchApplied(batch *recordv1.Batch, verdicts []fold.Verdict) {
	b.reserver.HandleFolded(batch, verdicts)
	b.witnessStore.HandleFolded(batch, verdicts)
	b.replicator.HandleFolded(batch, verdicts)
	b.watcher.HandleFolded(batch, verdicts)
}

// logReachable reports whether an entry appended now is likely to be applied soon.
func (n *Node) logReachable() bool {
	return !n.writer.Failing() && n.follower.SinceRead() < maxLogReadAge
}

func (n *Node) budgetPeers() []budget.Peer {
	var peers []budget.Peer
	for _, member := range n.members.All() {
		peers = append(peers, budget.Peer{
			Node: member.Node, SameRegion: member.Node.GetRegion() == n.settings.Region, Suspect: member.Suspect,
		})
	}
	return peers
}

// handleBudgets handles the peer requests about budgets. It returns false for any other request.
func (n *Node) handleBudgets(r *fleetv1.Request, response *fleetv1.Response) bool {
	var err error
	switch body := r.GetBody().(type) {
	case *fleetv1.Request_Reserve:
		var reserved *fleetv1.Reserved
		reserved, err = n.budgets.lender.Reserve(r.GetFrom(), body.Reserve)
		response.Body = &fleetv1.Response_Reserved{Reserved: reserved}
	case *fleetv1.Request_Settle:
		n.budgets.lender.Settle(body.Settle.GetId(), body.Settle.GetTokens())
		response.Body = &fleetv1.Response_Settled{Settled: &fleetv1.Settled{}}
	case *fleetv1.Request_ShareAsk:
		response.Body = &fleetv1.Response_ShareAnswer{ShareAnswer: n.budgets.reserver.MoveShare(r.GetFrom(), body.ShareAsk)}
	case *fleetv1.Request_Witness:
		err = n.updateWitness(r.GetFrom(), body.Witness)
		response.Body = &fleetv1.Response_Witnessed{Witnessed: &fleetv1.Witnessed{}}
	case *fleetv1.Request_WitnessQuery:
		var report *fleetv1.WitnessReport
		report, err = n.handleWitnessQuery(body.WitnessQuery)
		response.Body = &fleetv1.Response_WitnessReport{WitnessReport: report}
	default:
		return false
	}
	if err != nil {
		response.Code = uint32(result.CodeOf(err))
		response.Message = result.From(err).Message
		response.Body = nil
	}
	return true
}
