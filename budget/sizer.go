package budget

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/recordlog"
)

// sizingInterval is the time between sizing steps.
const sizingInterval = time.Second

// Sizer transfers tokens between the node's shares, the pool and peers through the log, as
// decided by SizeShare.
type Sizer struct {
	policy   Policy
	reserver *Reserver
	states   map[string]*SizingState
}

// NewSizer returns a sizer for the shares of a reserver.
func NewSizer(policy Policy, reserver *Reserver) *Sizer {
	return &Sizer{policy: policy, reserver: reserver, states: map[string]*SizingState{}}
}

// Run sizes the shares periodically until ctx ends.
func (s *Sizer) Run(ctx context.Context) {
	periodic.Run(ctx, s.reserver.config.Holder.clock, sizingInterval, s.Step)
}

// Step sizes all shares once. It does nothing while the log is unreachable: entries queued then
// would transfer tokens long after they were needed.
func (s *Sizer) Step(ctx context.Context) {
	r := s.reserver
	shortfalls := r.shortfalls.take()
	if !r.config.LogReachable() || r.config.Holder.RightRemaining() <= 0 {
		return
	}
	for _, name := range r.config.Holder.Budgets() {
		state := s.states[name]
		if state == nil {
			state = &SizingState{}
			s.states[name] = state
		}
		s.execute(ctx, SizeShare(s.policy, state, s.input(name, shortfalls[name]), r.config.Holder.clock.Now()))
	}
}

func (s *Sizer) input(name string, shortfall uint64) SizingInput {
	r := s.reserver
	line := r.config.Ledger.Budget(name)
	return SizingInput{
		Budget: name, Available: r.config.Holder.Available(name), Used: r.config.Holder.Used(name), Shortfall: shortfall,
		Pool: line.Pool, Remaining: line.Remaining(), Nodes: 1 + len(r.config.Peers()),
	}
}

func (s *Sizer) execute(ctx context.Context, action SizingAction) {
	switch {
	case action.Claim > 0:
		s.reserver.startClaim(action.Budget, action.Claim)
	case action.Return > 0:
		s.reserver.returnTokens(action.Budget, action.Return)
	case action.Ask > 0:
		s.askPeer(ctx, action.Budget, action.Ask)
	}
}

// askPeer asks the first of the lenders to move part of its share to this node.
func (s *Sizer) askPeer(ctx context.Context, budget string, tokens uint64) {
	r := s.reserver
	lenders := r.lenders(budget)
	if len(lenders) == 0 {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, r.config.Holder.clock, peerCallTimeout)
	defer cancel()
	_, _ = r.config.Borrower.call(ctx, lenders[0].Node, &fleetv1.Request{Body: &fleetv1.Request_ShareAsk{
		ShareAsk: &fleetv1.ShareAsk{Budget: budget, Tokens: tokens},
	}})
}

// returnTokens returns tokens to the pool. They leave the local share first, so that no request
// reserves tokens in transit.
func (r *Reserver) returnTokens(budget string, tokens uint64) {
	taken := r.config.Holder.Debit(budget, tokens)
	if taken == 0 {
		return
	}
	ticket := r.config.Log.Submit(&recordv1.Entry{Body: &recordv1.Entry_ShareReturn{
		ShareReturn: &recordv1.ShareReturn{Budget: budget, Tokens: taken},
	}})
	go r.awaitTransfer(ticket, budget, taken, event.ShareReturned)
}

// MoveShare handles a peer's ShareAsk: at most half of the unreserved tokens move to the peer.
func (r *Reserver) MoveShare(to string, ask *fleetv1.ShareAsk) *fleetv1.ShareAnswer {
	budget := ask.GetBudget()
	tokens := min(ask.GetTokens(), r.config.Holder.Available(budget)/2)
	if tokens == 0 || !r.config.Ledger.IsOpen(to) {
		return &fleetv1.ShareAnswer{Left: r.config.Holder.Available(budget)}
	}
	taken := r.config.Holder.Debit(budget, tokens)
	ticket := r.config.Log.Submit(&recordv1.Entry{Body: &recordv1.Entry_ShareMove{
		ShareMove: &recordv1.ShareMove{Budget: budget, To: to, Tokens: taken},
	}})
	go r.awaitTransfer(ticket, budget, taken, event.ShareMoved)
	return &fleetv1.ShareAnswer{Moving: taken, Left: r.config.Holder.Available(budget)}
}

// awaitTransfer credits tokens back if the log refuses their return or move, or hasn't accepted
// it in time: otherwise they would be unusable for the rest of the outage.
func (r *Reserver) awaitTransfer(ticket *recordlog.Ticket, budget string, tokens uint64, completed event.Number) {
	select {
	case verdict := <-ticket.Done():
		r.completeTransfer(verdict, budget, tokens, completed)
		return
	case <-r.config.Holder.clock.After(claimTimeout):
	}
	if ticket.Withdraw() {
		r.config.Holder.Credit(budget, tokens)
		return
	}
	if verdict, ok := r.verdict(ticket); ok {
		r.completeTransfer(verdict, budget, tokens, completed)
	}
}

func (r *Reserver) completeTransfer(verdict fold.Verdict, budget string, tokens uint64, completed event.Number) {
	if !verdict.OK() {
		r.config.Holder.Credit(budget, tokens)
		return
	}
	r.config.Events.Record(completed, "budget", budget, "tokens", tokens)
}
