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

// sizingInterval is the time between two looks at the shares.
const sizingInterval = time.Second

// Sizer moves tokens between the node's shares, the pool and peers, through the
// log, as SizeShare decides.
type Sizer struct {
	policy   Policy
	reserver *Reserver
	states   map[string]*SizingState
}

// NewSizer returns a sizer for a reserver's shares.
func NewSizer(policy Policy, reserver *Reserver) *Sizer {
	return &Sizer{policy: policy, reserver: reserver, states: map[string]*SizingState{}}
}

// Run works until ctx ends.
func (s *Sizer) Run(ctx context.Context) {
	periodic.Run(ctx, s.reserver.c.Holder.clock, sizingInterval, s.Step)
}

// Step looks at all budgets once. While the log is out of reach nothing can move,
// and entries queued then would move tokens long after they were wanted.
func (s *Sizer) Step(ctx context.Context) {
	r := s.reserver
	lacks := r.demand.take()
	if !r.c.LogReachable() || r.c.Holder.RightRemaining() <= 0 {
		return
	}
	for _, name := range r.c.Holder.Budgets() {
		state := s.states[name]
		if state == nil {
			state = &SizingState{}
			s.states[name] = state
		}
		s.act(ctx, SizeShare(s.policy, state, s.look(name, lacks[name]), r.c.Holder.clock.Now()))
	}
}

func (s *Sizer) look(name string, lacked uint64) SizingInput {
	r := s.reserver
	line := r.c.Ledger.Budget(name)
	return SizingInput{
		Budget: name, Available: r.c.Holder.Available(name), Used: r.c.Holder.Used(name), Shortfall: lacked,
		Pool: line.Pool, Remaining: line.Remaining(), Nodes: 1 + len(r.c.Peers()),
	}
}

func (s *Sizer) act(ctx context.Context, action SizingAction) {
	switch {
	case action.Claim > 0:
		s.reserver.startClaim(action.Budget, action.Claim)
	case action.Return > 0:
		s.reserver.giveBack(action.Budget, action.Return)
	case action.Ask > 0:
		s.ask(ctx, action.Budget, action.Ask)
	}
}

// ask asks the peer that holds most to move a part of its share here.
func (s *Sizer) ask(ctx context.Context, budget string, tokens uint64) {
	r := s.reserver
	lenders := r.lenders(budget)
	if len(lenders) == 0 {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, r.c.Holder.clock, askTimeout)
	defer cancel()
	_, _ = r.c.Borrower.call(ctx, lenders[0].Node, &fleetv1.Request{Body: &fleetv1.Request_ShareAsk{
		ShareAsk: &fleetv1.ShareAsk{Budget: budget, Tokens: tokens},
	}})
}

// giveBack returns tokens to the pool. They are taken out of the share first, so
// nobody reserves what is on its way.
func (r *Reserver) giveBack(budget string, tokens uint64) {
	taken := r.c.Holder.Debit(budget, tokens)
	if taken == 0 {
		return
	}
	ticket := r.c.Journal.Submit(&recordv1.Entry{Body: &recordv1.Entry_ShareReturn{
		ShareReturn: &recordv1.ShareReturn{Budget: budget, Tokens: taken},
	}})
	go r.creditRefused(ticket, budget, taken, event.ShareReturned)
}

// MoveShare answers a peer's ask: up to half of what is unreserved here moves to it.
func (r *Reserver) MoveShare(to string, ask *fleetv1.ShareAsk) *fleetv1.ShareAnswer {
	budget := ask.GetBudget()
	tokens := min(ask.GetTokens(), r.c.Holder.Available(budget)/2)
	if tokens == 0 || !r.c.Ledger.IsOpen(to) {
		return &fleetv1.ShareAnswer{Left: r.c.Holder.Available(budget)}
	}
	taken := r.c.Holder.Debit(budget, tokens)
	ticket := r.c.Journal.Submit(&recordv1.Entry{Body: &recordv1.Entry_ShareMove{
		ShareMove: &recordv1.ShareMove{Budget: budget, To: to, Tokens: taken},
	}})
	go r.creditRefused(ticket, budget, taken, event.ShareMoved)
	return &fleetv1.ShareAnswer{Moving: taken, Left: r.c.Holder.Available(budget)}
}

// creditRefused takes tokens back whose return or move the log refused, or that it
// didn't take in time: they would be out of use for as long as the outage lasts.
func (r *Reserver) creditRefused(ticket *recordlog.Ticket, budget string, tokens uint64, done event.Number) {
	select {
	case verdict := <-ticket.Done():
		r.moved(verdict, budget, tokens, done)
		return
	case <-r.c.Holder.clock.After(claimWait):
	}
	if ticket.Withdraw() {
		r.c.Holder.Credit(budget, tokens)
		return
	}
	if verdict, ok := r.verdict(ticket); ok {
		r.moved(verdict, budget, tokens, done)
	}
}

func (r *Reserver) moved(verdict fold.Verdict, budget string, tokens uint64, done event.Number) {
	if !verdict.OK() {
		r.c.Holder.Credit(budget, tokens)
		return
	}
	r.c.Events.Record(done, "budget", budget, "tokens", tokens)
}
