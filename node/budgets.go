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

// logSilence is how long the log may be silent to count as reachable. A read waits
// a second for news at most.
const logSilence = 5 * time.Second

// budgets is the part of a node that spends and brings back prepaid tokens.
type budgets struct {
	reserver  *budget.Reserver
	lender    *budget.Lender
	borrower  *budget.Borrower
	sizer     *budget.Sizer
	memory    *witness.Store
	teller    *witness.Replicator
	watcher   *recovery.Watcher
	recoverer *recovery.Recoverer
	silent    *recovery.SilentSettler
	copier    *witness.Copier
	stopped   chan struct{}
}

func (n *Node) newBudgets() budgets {
	b := budgets{
		lender:   budget.NewLender(n.holder, n.ledger, n.events),
		borrower: budget.NewBorrower(n.Incarnation(), n.deps.Clock, n.deps.Peers, n.ledger, n.events),
		stopped:  make(chan struct{}),
		memory:   witness.NewStore(),
		teller:   n.newTeller(),
		watcher:  recovery.NewWatcher(n.Incarnation(), n.deps.Clock, n.ledger, n.logReachable),
	}
	b.reserver = budget.NewReserver(budget.ReserverConfig{
		Holder: n.holder, Ledger: n.ledger, Journal: n.writer, Events: n.events, ClaimChunk: n.settings.ClaimChunk,
		Borrower: b.borrower, Peers: n.budgetPeers, LogReachable: n.logReachable, Witness: b.teller,
		Stopped: b.stopped,
	})
	b.sizer = budget.NewSizer(n.settings.BudgetPolicy, b.reserver)
	b.recoverer = n.newRecoverer(b)
	b.silent = n.newSilentSettler(b)
	b.copier = witness.NewCopier(witness.CopierConfig{
		Clock: n.deps.Clock, Store: b.memory, Candidates: n.witnesses, Suspect: n.isSuspect, Send: b.teller.SendRequests,
	})
	return b
}

func (b *budgets) run(ctx context.Context) {
	var wait sync.WaitGroup
	for _, loop := range []func(context.Context){b.borrower.Run, b.sizer.Run, b.teller.Run, b.recoverer.Run, b.silent.Run, b.copier.Run} {
		wait.Go(func() { loop(ctx) })
	}
	wait.Wait()
	close(b.stopped)
}

func (b *budgets) folded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	b.reserver.Folded(batch, verdicts)
	b.memory.Folded(batch, verdicts)
	b.teller.Folded(batch, verdicts)
	b.watcher.Folded(batch, verdicts)
}

// logReachable tells whether an entry appended now is likely to be folded soon.
func (n *Node) logReachable() bool {
	return !n.writer.Failing() && n.follower.SinceRead() < logSilence
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

// handleBudgets answers what peers ask about budgets; false when it is something else.
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
		err = n.remember(r.GetFrom(), body.Witness)
		response.Body = &fleetv1.Response_Witnessed{Witnessed: &fleetv1.Witnessed{}}
	case *fleetv1.Request_WitnessQuery:
		var report *fleetv1.WitnessReport
		report, err = n.witnessReport(body.WitnessQuery)
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
