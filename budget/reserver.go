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
	// claimTimeout bounds how long a request waits for a claim on the pool.
	claimTimeout = 2 * time.Second
	// maxClaimWaits is the number of claims a request waits for: the first may be one already
	// in progress, for less than the request needs.
	maxClaimWaits = 2
	// borrowRounds is the number of times all peers are asked. If two nodes collect the same
	// last tokens at once, each gets a part and neither enough; both give their parts back,
	// wait a random time, and one succeeds.
	borrowRounds  = 3
	borrowBackoff = 20 * time.Millisecond
	// unreachableRetryAfter is the retry delay given to a caller whose budget is partly
	// unreachable.
	unreachableRetryAfter = 5 * time.Second
	// reservedRetryAfter is the retry delay given to a caller whose budget is reserved by
	// others.
	reservedRetryAfter = 2 * time.Second
)

// Submitter queues an entry for the log. recordlog.Writer implements it.
type Submitter interface {
	Submit(entry *recordv1.Entry) *recordlog.Ticket
}

// Peer is another node as the reserver sees it.
type Peer struct {
	Node *recordv1.NodeInfo
	// SameRegion is set for nodes of this node's region.
	SameRegion bool
	// Suspect is set for unresponsive nodes.
	Suspect bool
}

// ReserverConfig holds the dependencies and settings of a Reserver.
type ReserverConfig struct {
	Holder *ShareHolder
	Ledger *Ledger
	Log    Submitter
	Events *event.Recorder
	// ClaimChunk is the least that a request claims from the pool, in tokens, unless half the
	// pool is less.
	ClaimChunk uint64
	// Borrower and Peers give access to the shares of other nodes; without them only the local
	// share and the pool are used.
	Borrower *Borrower
	Peers    func() []Peer
	// LogReachable reports whether a claim is likely to be answered; nil means always.
	LogReachable func() bool
	// Witness records each request before dispatch; nil disables this.
	Witness Witness
	// Stopped is closed when the node stops; nil means never.
	Stopped <-chan struct{}
	// Jitter returns a random duration below d; nil means rand.N.
	Jitter func(d time.Duration) time.Duration
}

// Reserver reserves tokens for requests: from the node's share, else from the pool, else in
// parts from peers. It is safe for concurrent use.
type Reserver struct {
	config     ReserverConfig
	shortfalls shortfallTable

	mu sync.Mutex
	// claims holds the pending claim of each budget, which all requests share.
	claims map[string]*pendingClaim
}

type pendingClaim struct {
	done chan struct{}
	err  error
}

// NewReserver returns a reserver for the shares of a node.
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
	return &Reserver{config: config, claims: map[string]*pendingClaim{}}
}

// Reserve reserves a request's worst case from a budget, in tokens. It fails with BudgetSpent,
// BudgetReserved, BudgetUnreachable, SpendRightLapsed or SettlementBacklog.
func (r *Reserver) Reserve(ctx context.Context, budget string, tokens uint64) (Grant, error) {
	own, err := r.config.Holder.Reserve(budget, tokens)
	if err == nil {
		return r.grant(own, nil), nil
	}
	if result.CodeOf(err) != result.BudgetSpent {
		return nil, err
	}
	r.shortfalls.add(budget, tokens)
	for range maxClaimWaits {
		if !r.claim(ctx, budget, tokens) {
			break
		}
		if own, err := r.config.Holder.Reserve(budget, tokens); err == nil {
			return r.grant(own, nil), nil
		}
	}
	return r.borrow(ctx, budget, tokens)
}

func (r *Reserver) grant(own *Reservation, parts []*borrowedPart) Grant {
	return &grant{own: own, parts: parts, witness: r.config.Witness, borrower: r.config.Borrower}
}

// claim claims from the pool and reports whether anything was granted. While the log is
// unreachable it returns at once, so that no request waits for the end of an outage.
func (r *Reserver) claim(ctx context.Context, budget string, tokens uint64) bool {
	pool := r.config.Ledger.Budget(budget).Pool
	if pool == 0 || !r.config.LogReachable() {
		return false
	}
	pending := r.startClaim(budget, max(tokens, min(r.config.ClaimChunk, pool/2)))
	ctx, cancel := clockwork.WithTimeout(ctx, r.config.Holder.clock, claimTimeout)
	defer cancel()
	select {
	case <-pending.done:
		return pending.err == nil
	case <-ctx.Done():
		return false
	}
}

// startClaim joins the pending claim or submits a new one. If each of a hundred waiting
// requests claimed separately, one node would take the whole pool.
func (r *Reserver) startClaim(budget string, tokens uint64) *pendingClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing := r.claims[budget]; existing != nil {
		return existing
	}
	pending := &pendingClaim{done: make(chan struct{})}
	r.claims[budget] = pending
	ticket := r.config.Log.Submit(&recordv1.Entry{Body: &recordv1.Entry_ShareClaim{
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

// verdict waits for the verdict on an entry; false if the node stops first.
func (r *Reserver) verdict(ticket *recordlog.Ticket) (fold.Verdict, bool) {
	select {
	case verdict := <-ticket.Done():
		return verdict, true
	case <-r.config.Stopped:
		return fold.Verdict{}, false
	}
}

// borrow covers the request from the local share and from parts reserved by peers.
func (r *Reserver) borrow(ctx context.Context, budget string, tokens uint64) (Grant, error) {
	var attempt borrowAttempt
	for round := range borrowRounds {
		if round > 0 {
			r.backOff(ctx)
		}
		attempt = borrowAttempt{}
		own, err := r.reserveOwnPart(budget, tokens)
		if err != nil {
			return nil, err
		}
		if r.borrowParts(ctx, own, tokens, &attempt) {
			return r.grant(own, attempt.parts), nil
		}
		r.grant(own, attempt.parts).Finish(0)
		if attempt.reserved == 0 || attempt.answered == 0 || ctx.Err() != nil {
			break
		}
	}
	return nil, r.refusal(budget, tokens, attempt)
}

func (r *Reserver) backOff(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.config.Holder.clock.After(borrowBackoff + r.config.Jitter(borrowBackoff)):
	}
}

// borrowAttempt is one round of asking the peers that hold a share of a budget.
type borrowAttempt struct {
	parts []*borrowedPart
	// reserved counts the tokens reserved so far, on this node and its peers.
	reserved    uint64
	answered    int
	unreachable int
}

func (r *Reserver) reserveOwnPart(budget string, tokens uint64) (*Reservation, error) {
	own, err := r.config.Holder.ReserveUpTo(budget, tokens)
	if result.CodeOf(err) == result.BudgetSpent {
		return r.config.Holder.ReserveEmpty(budget)
	}
	return own, err
}

// borrowParts asks the lenders in turn until the request is covered.
func (r *Reserver) borrowParts(ctx context.Context, own *Reservation, tokens uint64, attempt *borrowAttempt) bool {
	attempt.reserved = own.Tokens
	if attempt.reserved >= tokens {
		return true
	}
	for number, lender := range r.lenders(own.Budget) {
		part, err := r.config.Borrower.requestPart(ctx, lender.Node, own, tokens-attempt.reserved, attempt.reserved, number)
		switch {
		case result.CodeOf(err) == result.PeerUnreachable:
			attempt.unreachable++
			continue
		case err != nil:
			attempt.answered++
			continue
		}
		attempt.answered++
		attempt.parts = append(attempt.parts, part)
		attempt.reserved += part.tokens
		if attempt.reserved >= tokens {
			return true
		}
	}
	return false
}

// lenders returns the open peers that hold a share of the budget, sorted: responsive peers
// first, then those of the same region, then those with the largest shares.
func (r *Reserver) lenders(budget string) []Peer {
	if r.config.Borrower == nil {
		return nil
	}
	line := r.config.Ledger.Budget(budget)
	remaining := func(p Peer) uint64 {
		if share := line.Shares[p.Node.GetIncarnation()]; share != nil {
			return share.Remaining()
		}
		return 0
	}
	var lenders []Peer
	for _, p := range r.config.Peers() {
		if remaining(p) > 0 {
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
		return remaining(a) > remaining(b)
	})
	return lenders
}

// refusal returns the reason why the request can't be covered: what remains is too little, is
// reserved by running requests, or is unreachable.
func (r *Reserver) refusal(budget string, tokens uint64, attempt borrowAttempt) error {
	line := r.config.Ledger.Budget(budget)
	open, frozen := r.splitUnsettled(line)
	switch {
	case line.Pool+open+frozen < tokens:
		return result.New(result.BudgetSpent, "budget %s has %d tokens left, the request needs %d", budget, line.Pool+open+frozen, tokens)
	case attempt.unreachable > 0 || !r.config.LogReachable() || frozen > 0 && line.Pool+open < tokens:
		return result.New(result.BudgetUnreachable, "a part of budget %s can't be reached now", budget).WithRetryAfter(unreachableRetryAfter)
	default:
		return result.New(result.BudgetReserved, "what is left of budget %s is reserved by running requests", budget).WithRetryAfter(reservedRetryAfter)
	}
}

// splitUnsettled sums the unsettled tokens held by open incarnations and by closed ones, whose
// shares are frozen.
func (r *Reserver) splitUnsettled(line Line) (open, frozen uint64) {
	for incarnation, share := range line.Shares {
		if r.config.Ledger.IsOpen(incarnation) {
			open += share.Remaining()
		} else {
			frozen += share.Remaining()
		}
	}
	return open, frozen
}

// HandleFolded credits tokens that the log granted or moved to this incarnation. It must be
// called with each batch in offset order, before tickets get their verdicts.
func (r *Reserver) HandleFolded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	own := batch.GetWriter() == r.config.Holder.Incarnation()
	for i, verdict := range verdicts {
		if !verdict.OK() {
			continue
		}
		entry := batch.GetEntries()[i]
		if claim := entry.GetShareClaim(); own && claim != nil {
			r.credit(claim.GetBudget(), verdict.Tokens)
		}
		if move := entry.GetShareMove(); move != nil && move.GetTo() == r.config.Holder.Incarnation() {
			r.credit(move.GetBudget(), verdict.Tokens)
		}
	}
}

func (r *Reserver) credit(budget string, tokens uint64) {
	r.config.Holder.Credit(budget, tokens)
	r.config.Events.Record(event.ShareGranted, "budget", budget, "tokens", tokens)
}
