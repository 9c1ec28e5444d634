package lending

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// maxPeersAsked bounds the peers that are asked for one request. maxNearAsked of them are of the
	// same region; what these hold may be used up while the other region has plenty.
	maxPeersAsked = 8
	maxNearAsked  = 5
	// callTimeout bounds one call to a lender: a round trip between regions and a report.
	callTimeout = 200 * time.Millisecond
	// lendableTTL is how long a lender's statement of what it can lend is used: its next grant
	// comes after about that time.
	lendableTTL = 500 * time.Millisecond
	// shortageTTL is how long an account isn't asked for again after no peer had enough tokens, so
	// that an exhausted account doesn't cost several calls per request.
	shortageTTL = 300 * time.Millisecond
	// minUnusedDivisor: a peer counts as having at least 1/50 of its ceiling unused, even if
	// nothing was unused when it was granted, because requests end with less than they
	// reserved.
	minUnusedDivisor = 50
	// settleAttempts bounds the attempts to settle a loan; after that it counts as used.
	settleAttempts = 4
	// settleRetryDelay is the pause between attempts.
	settleRetryDelay = 500 * time.Millisecond
)

// Peer is a potential lender.
type Peer struct {
	Node    string
	Address string
	// SameRegion reports whether the peer is in this node's region.
	SameRegion bool
	// Restarted reports that the grant or what is known of the peer is of an earlier incarnation:
	// its allocation may be gone.
	Restarted bool
	// Ceiling is what the peer was last granted of the account, in tokens; Unused is what was
	// unused of it at that time.
	Ceiling, Unused int64
}

// Transport sends a request to a peer.
type Transport interface {
	Call(ctx context.Context, address string, request Request) (Reply, error)
}

// Borrower borrows from peers. It is safe for concurrent use.
type Borrower struct {
	transport Transport
	clock     bootclock.Clock
	// peers returns the peers that hold an allocation of an account.
	peers func(account string) []Peer
	name  string

	mu        sync.Mutex
	loanCount uint64
	shortages map[string]estimate
	// lendable is what each lender last reported as lendable, by account and node.
	lendable map[lenderKey]estimate
}

// lenderKey identifies a lender of an account.
type lenderKey struct{ account, node string }

// estimate is a number of tokens that is valid until expires: the smallest amount that no peer had,
// or what one peer had left.
type estimate struct {
	tokens  int64
	expires time.Duration
}

// NewBorrower returns a borrower; name distinguishes its loans from those of other nodes.
func NewBorrower(transport Transport, clock bootclock.Clock, name string, peers func(account string) []Peer) *Borrower {
	return &Borrower{transport: transport, clock: clock, name: name, peers: peers, shortages: make(map[string]estimate), lendable: make(map[lenderKey]estimate)}
}

// Loan is a peer's reservation for a request.
type Loan struct {
	ID      string
	Account string
	Peer    Peer
}

// BorrowStats describes the attempts to borrow for one request, for logs.
type BorrowStats struct {
	// Lenders is how many nodes could have covered the request by their ceilings, Asked how
	// many were asked, Unanswered how many of these didn't answer in time.
	Lenders, Asked, Unanswered int
	// KnownShortage is set if nobody was asked because that many tokens were just found
	// unavailable.
	KnownShortage bool
}

// Borrow asks peers for a request's tokens, those in the same region first. hasAllocation
// reports whether this node has an allocation of the account itself.
func (b *Borrower) Borrow(ctx context.Context, account string, tokens int64, hasAllocation bool) (Loan, BorrowStats, bool) {
	if b.hasShortage(account, tokens) {
		return Loan{}, BorrowStats{KnownShortage: true}, false
	}
	peers := b.rankPeers(account, tokens)
	stats := BorrowStats{Lenders: len(peers)}
	for _, peer := range choosePeers(peers) {
		loan := Loan{ID: b.nextLoanID(), Account: account, Peer: peer}
		stats.Asked++
		granted, err := b.request(ctx, loan, tokens, hasAllocation)
		if granted {
			return loan, stats, true
		}
		if err != nil {
			stats.Unanswered++
		}
	}
	if stats.Asked == len(peers) && stats.Unanswered == 0 {
		b.recordShortage(account, tokens)
	}
	return Loan{}, stats, false
}

// choosePeers returns the ranked peers to ask, with those of the same region beyond maxNearAsked
// after all others.
func choosePeers(ranked []Peer) []Peer {
	var chosen, later []Peer
	near := 0
	for _, p := range ranked {
		if p.SameRegion {
			near++
		}
		if p.SameRegion && near > maxNearAsked {
			later = append(later, p)
			continue
		}
		chosen = append(chosen, p)
	}
	chosen = append(chosen, later...)
	return chosen[:min(len(chosen), maxPeersAsked)]
}

func (b *Borrower) recordShortage(account string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if known := b.shortages[account]; now < known.expires {
		tokens = min(tokens, known.tokens)
	}
	b.shortages[account] = estimate{tokens: tokens, expires: now + shortageTTL}
}

// hasShortage reports whether that many tokens were recently unavailable. A shortage for a long
// prompt doesn't apply to a shorter one.
func (b *Borrower) hasShortage(account string, tokens int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.shortages[account]
	return b.clock.Now() < known.expires && tokens >= known.tokens
}

func (b *Borrower) nextLoanID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loanCount++
	return b.name + "/" + strconv.FormatUint(b.loanCount, 10)
}

// rankPeers returns the peers that may cover a request: those that have restarted last, those that
// had enough unused tokens before those that hadn't, then those in the same region, in an order
// drawn at random with their unused tokens as weights. So borrowers rarely ask where little is
// left, and don't all drain the peer with the most.
func (b *Borrower) rankPeers(account string, tokens int64) []Peer {
	peers := slices.DeleteFunc(b.peers(account), func(p Peer) bool {
		return p.Ceiling < tokens || b.knownInsufficient(lenderKey{account, p.Node}, tokens)
	})
	ranks := make(map[string]float64, len(peers))
	for _, p := range peers {
		ranks[p.Node] = -math.Log(1-rand.Float64()) / float64(max(p.Unused, p.Ceiling/minUnusedDivisor))
	}
	slices.SortFunc(peers, func(x, y Peer) int {
		return cmp.Or(compareFlags(y.Restarted, x.Restarted), compareFlags(x.Unused >= tokens, y.Unused >= tokens), compareFlags(x.SameRegion, y.SameRegion), cmp.Compare(ranks[x.Node], ranks[y.Node]))
	})
	return peers
}

// compareFlags orders true before false.
func compareFlags(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return -1
	default:
		return 1
	}
}

// knownInsufficient reports whether a lender recently said that it can lend less than tokens.
func (b *Borrower) knownInsufficient(key lenderKey, tokens int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.lendable[key]
	return ok && b.clock.Now() < known.expires && known.tokens < tokens
}

func (b *Borrower) recordLendable(key lenderKey, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lendable[key] = estimate{tokens: tokens, expires: b.clock.Now() + lendableTTL}
}

func (b *Borrower) request(ctx context.Context, loan Loan, tokens int64, hasAllocation bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := b.transport.Call(ctx, loan.Peer.Address, Request{LoanID: loan.ID, Account: loan.Account, Tokens: tokens, HasAllocation: hasAllocation})
	if err != nil {
		// The peer may have reserved the tokens anyway.
		go b.Settle(loan, 0)
		return false, err
	}
	b.recordLendable(lenderKey{loan.Account, loan.Peer.Node}, reply.Lendable)
	return reply.Granted, nil
}

// Settle tells the lender what a loan's request used. It blocks until that is acknowledged or
// abandoned, so callers run it in a goroutine.
func (b *Borrower) Settle(loan Loan, used int64) {
	for range settleAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err := b.transport.Call(ctx, loan.Peer.Address, Request{LoanID: loan.ID, Account: loan.Account, Tokens: used, Settle: true})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(settleRetryDelay)
	}
}
