package budget

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// claimWait bounds how long a request waits for a claim on the pool.
	claimWait = 2 * time.Second
	// maxClaims is how many claims a request waits for: the first may be one that was
	// under way already, for less than the request needs.
	maxClaims = 2
	// borrowRounds is how often the peers are asked in turn. Two nodes that collect
	// the same last tokens at once each get a part and neither enough; both give
	// back, wait a random moment and one succeeds.
	borrowRounds = 3
	borrowPause  = 20 * time.Millisecond
	// unreachableRetry is when a caller may try again whose budget is partly out of reach.
	unreachableRetry = 5 * time.Second
	// reservedRetry is when a caller may try again whose budget is reserved by others.
	reservedRetry = 2 * time.Second
)

// Submitter queues an entry for the log; recordlog.Writer is one.
type Submitter interface {
	Submit(entry *recordv1.Entry) *recordlog.Ticket
}

// Peer is another node as the reserver sees it.
type Peer struct {
	Node *recordv1.NodeInfo
	// SameRegion is set for nodes of the own region.
	SameRegion bool
	// Suspect is set for nodes that don't answer.
	Suspect bool
}

// ReserverConfig is what a Reserver works with.
type ReserverConfig struct {
	Holder  *ShareHolder
	Ledger  *Ledger
	Journal Submitter
	Events  *event.Recorder
	// ClaimChunk is the least that is claimed from the pool at a time, in tokens.
	ClaimChunk uint64
	// Borrower and Peers reach other nodes' shares; without them only the own share
	// and the pool are used.
	Borrower *Borrower
	Peers    func() []Peer
	// LogReachable tells whether a claim is likely to be answered; nil means always.
	LogReachable func() bool
	// Witness is told of each request before dispatch; nil tells nobody.
	Witness Witness
	// Stopped is closed when the node ends; nil means never.
	Stopped <-chan struct{}
	// Jitter returns a random duration below d; nil takes the program's source.
	Jitter func(d time.Duration) time.Duration
}

// Reserver covers requests: out of the node's share, else out of the pool, else by
// parts that peers reserve. It is safe for concurrent use.
type Reserver struct {
	c      ReserverConfig
	demand demandTable

	mu sync.Mutex
	// claims holds the claim under way of each budget, which all requests share.
	claims map[string]*pendingClaim
}

type pendingClaim struct {
	done chan struct{}
	err  error
}

// NewReserver returns a reserver over a node's shares.
func NewReserver(config ReserverConfig) *Reserver {
	if config.LogReachable == nil {
		config.LogReachable = func() bool { return true }
	}
	if config.Peers == nil {
		config.Peers = func() []Peer { return nil }
	}
	if config.Jitter == nil {
		config.Jitter = rand.N[time.Duration]
	}
	return &Reserver{c: config, claims: map[string]*pendingClaim{}}
}

// Reserve takes a request's worst case out of a budget, in tokens. It fails with
// BudgetSpent, BudgetReserved, BudgetUnreachable, SpendRightLapsed or SettlementBacklog.
func (r *Reserver) Reserve(ctx context.Context, budget string, tokens uint64) (Grant, error) {
	own, err := r.c.Holder.Reserve(budget, tokens)
	if err == nil {
		return r.grant(own, nil), nil
	}
	if result.CodeOf(err) != result.BudgetSpent {
		return nil, err
	}
	r.demand.short(budget, tokens)
	for range maxClaims {
		if !r.claim(ctx, budget, tokens) {
			break
		}
		if own, err := r.c.Holder.Reserve(budget, tokens); err == nil {
			return r.grant(own, nil), nil
		}
	}
	return r.borrow(ctx, budget, tokens)
}

func (r *Reserver) grant(own *Reservation, parts []*borrowedPart) Grant {
	return &grant{own: own, parts: parts, witness: r.c.Witness, borrower: r.c.Borrower}
}

// claim asks the pool and returns whether anything was granted. While the log is
// out of reach it returns at once, so that no request waits for an outage.
func (r *Reserver) claim(ctx context.Context, budget string, tokens uint64) bool {
	pool := r.c.Ledger.Budget(budget).Pool
	if pool == 0 || !r.c.LogReachable() {
		return false
	}
	pending := r.startClaim(budget, max(tokens, min(r.c.ClaimChunk, pool/2)))
	ctx, cancel := clockwork.WithTimeout(ctx, r.c.Holder.clock, claimWait)
	defer cancel()
	select {
	case <-pending.done:
		return pending.err == nil
	case <-ctx.Done():
		return false
	}
}

// startClaim joins the claim under way or submits one. Were each of a hundred
// waiting requests to claim for itself, one node would take the whole pool.
func (r *Reserver) startClaim(budget string, tokens uint64) *pendingClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	if held := r.claims[budget]; held != nil {
		return held
	}
	pending := &pendingClaim{done: make(chan struct{})}
	r.claims[budget] = pending
	ticket := r.c.Journal.Submit(&recordv1.Entry{Body: &recordv1.Entry_ShareClaim{
		ShareClaim: &recordv1.ShareClaim{Budget: budget, Tokens: tokens},
	}})
	go func() {
		verdict, ok := r.verdict(ticket)
		pending.err = verdict.Err()
		if !ok {
			pending.err = result.New(result.LogUnavailable, "the node has stopped")
		}
		r.mu.Lock()
		delete(r.claims, budget)
		r.mu.Unlock()
		close(pending.done)
	}()
	return pending
}

// verdict waits for the log; false when the node ends first.
func (r *Reserver) verdict(ticket *recordlog.Ticket) (fold.Verdict, bool) {
	select {
	case verdict := <-ticket.Done():
		return verdict, true
	case <-r.c.Stopped:
		return fold.Verdict{}, false
	}
}

// borrow covers the request by the own share and by parts that peers reserve.
func (r *Reserver) borrow(ctx context.Context, budget string, tokens uint64) (Grant, error) {
	var try borrowTry
	for round := range borrowRounds {
		if round > 0 {
			r.pause(ctx)
		}
		try = borrowTry{}
		own, err := r.ownPart(budget, tokens)
		if err != nil {
			return nil, err
		}
		if r.collect(ctx, own, tokens, &try) {
			return r.grant(own, try.parts), nil
		}
		r.grant(own, try.parts).Finish(0)
		if try.found == 0 || try.reached == 0 || ctx.Err() != nil {
			break
		}
	}
	return nil, r.refusal(budget, tokens, try)
}

func (r *Reserver) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.c.Holder.clock.After(borrowPause + r.c.Jitter(borrowPause)):
	}
}

// borrowTry is one round of asking the holders of a budget.
type borrowTry struct {
	parts []*borrowedPart
	// found counts the tokens that holders, this node included, had unreserved.
	found   uint64
	reached int
	missed  int
}

func (r *Reserver) ownPart(budget string, tokens uint64) (*Reservation, error) {
	own, err := r.c.Holder.ReserveUpTo(budget, tokens)
	if result.CodeOf(err) == result.BudgetSpent {
		return r.c.Holder.ReserveEmpty(budget)
	}
	return own, err
}

// collect asks the holders in turn until the request is covered.
func (r *Reserver) collect(ctx context.Context, own *Reservation, tokens uint64, try *borrowTry) bool {
	try.found = own.Tokens
	if try.found >= tokens {
		return true
	}
	for number, lender := range r.lenders(own.Budget) {
		part, err := r.c.Borrower.ask(ctx, lender.Node, own, tokens-try.found, try.found, number)
		switch {
		case result.CodeOf(err) == result.PeerUnreachable:
			try.missed++
			continue
		case err != nil:
			try.reached++
			continue
		}
		try.reached++
		try.parts = append(try.parts, part)
		try.found += part.tokens
		if try.found >= tokens {
			return true
		}
	}
	return false
}

// lenders lists the open peers that hold a part of the budget: those that answer
// first, of these the own region first, of these the largest share first.
func (r *Reserver) lenders(budget string) []Peer {
	if r.c.Borrower == nil {
		return nil
	}
	line := r.c.Ledger.Budget(budget)
	left := func(p Peer) uint64 {
		if share := line.Shares[p.Node.GetIncarnation()]; share != nil {
			return share.Remaining()
		}
		return 0
	}
	var lenders []Peer
	for _, p := range r.c.Peers() {
		if left(p) > 0 {
			lenders = append(lenders, p)
		}
	}
	sort.SliceStable(lenders, func(i, j int) bool {
		a, b := lenders[i], lenders[j]
		switch {
		case a.Suspect != b.Suspect:
			return b.Suspect
		case a.SameRegion != b.SameRegion:
			return a.SameRegion
		}
		return left(a) > left(b)
	})
	return lenders
}

// refusal tells the truth about why the request can't be covered: what is left is
// too little, is reserved by running requests, or is where it can't be reached.
func (r *Reserver) refusal(budget string, tokens uint64, try borrowTry) error {
	line := r.c.Ledger.Budget(budget)
	open, frozen := r.remainder(line)
	switch {
	case line.Pool+open+frozen < tokens:
		return result.New(result.BudgetSpent, "budget %s has %d tokens left, the request needs %d", budget, line.Pool+open+frozen, tokens)
	case try.missed > 0 || !r.c.LogReachable() || frozen > 0 && line.Pool+open < tokens:
		return result.New(result.BudgetUnreachable, "a part of budget %s can't be reached now", budget).After(unreachableRetry)
	default:
		return result.New(result.BudgetReserved, "what is left of budget %s is reserved by running requests", budget).After(reservedRetry)
	}
}

// remainder splits what incarnations hold unsettled into open and frozen ones.
func (r *Reserver) remainder(line Line) (open, frozen uint64) {
	for incarnation, share := range line.Shares {
		if r.c.Ledger.IsOpen(incarnation) {
			open += share.Remaining()
		} else {
			frozen += share.Remaining()
		}
	}
	return open, frozen
}

// Folded credits what the log granted or moved to this incarnation. It must be
// called with each batch in offset order, before tickets get their verdicts.
func (r *Reserver) Folded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	own := batch.GetWriter() == r.c.Holder.Incarnation()
	for i, verdict := range verdicts {
		if !verdict.OK() {
			continue
		}
		entry := batch.GetEntries()[i]
		if claim := entry.GetShareClaim(); own && claim != nil {
			r.credit(claim.GetBudget(), verdict.Tokens)
		}
		if move := entry.GetShareMove(); move != nil && move.GetTo() == r.c.Holder.Incarnation() {
			r.credit(move.GetBudget(), verdict.Tokens)
		}
	}
}

func (r *Reserver) credit(budget string, tokens uint64) {
	r.c.Holder.Credit(budget, tokens)
	r.c.Events.Record(event.ShareGranted, "budget", budget, "tokens", tokens)
}
