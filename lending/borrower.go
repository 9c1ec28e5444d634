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
	// mostAsked bounds the peers that are asked for one request.
	mostAsked = 6
	// askTimeout bounds one ask: a round trip between regions and a report.
	askTimeout = 200 * time.Millisecond
	// spareFor is how long a lender's word on what it has left is believed: its next
	// grant comes after about that time.
	spareFor = 500 * time.Millisecond
	// nothingFor is how long an account that no asked peer had tokens of isn't asked
	// for again, so that an exhausted account doesn't cost six asks a request.
	nothingFor = 300 * time.Millisecond
	// leastRoom divides a peer's ceiling into the room that it may have though it had none
	// when it was granted: requests end with less than they reserved.
	leastRoom = 50
	// settleTries bounds the tries to settle a loan; then it counts as used.
	settleTries = 4
	// settlePause is the pause between them.
	settlePause = 500 * time.Millisecond
)

// Peer is a node that may lend.
type Peer struct {
	Node    string
	Address string
	// SameRegion tells that it stands in this node's region.
	SameRegion bool
	// Ceiling is what it was last granted of the account, in tokens, Unused what of it was
	// not used then.
	Ceiling, Unused int64
}

// Transport carries an ask to a peer.
type Transport interface {
	Call(ctx context.Context, address string, ask Request) (Reply, error)
}

// Borrower borrows from peers. It is safe for concurrent use.
type Borrower struct {
	caller Transport
	clock  bootclock.Clock
	// peers returns the peers that hold some of an account.
	peers func(account string) []Peer
	name  string

	mu      sync.Mutex
	loans   uint64
	nothing map[string]shortage
	// spare is what each lender last said that it could lend, by account and node.
	spare map[lenderOf]shortage
}

// lenderOf is a node as the lender of an account.
type lenderOf struct{ account, node string }

// shortage is a number of tokens as of a moment: the smallest that no asked peer had, or
// what one peer had left.
type shortage struct {
	tokens int64
	until  time.Duration
}

// NewBorrower returns a borrower; name tells its loans from other nodes'.
func NewBorrower(caller Transport, clock bootclock.Clock, name string, peers func(account string) []Peer) *Borrower {
	return &Borrower{caller: caller, clock: clock, name: name, peers: peers, nothing: make(map[string]shortage), spare: make(map[lenderOf]shortage)}
}

// Loan is what a peer reserved for a request.
type Loan struct {
	ID      string
	Account string
	Peer    Peer
}

// BorrowStats is how the asks for one request went, for logs.
type BorrowStats struct {
	// Lenders is how many nodes could have covered the request by their ceilings, Asked
	// how many were asked, Unanswered how many of these didn't answer in time.
	Lenders, Asked, Unanswered int
	// KnownShortage tells that nobody was asked, since so many tokens weren't to be had just now.
	KnownShortage bool
}

// Borrow asks peers for a request's tokens, nearby ones first. holds tells whether this node has a part of the account itself.
func (b *Borrower) Borrow(ctx context.Context, account string, tokens int64, holds bool) (Loan, BorrowStats, bool) {
	if b.foundNothing(account, tokens) {
		return Loan{}, BorrowStats{KnownShortage: true}, false
	}
	peers := b.order(account, tokens)
	tally := BorrowStats{Lenders: len(peers)}
	for _, peer := range peers[:min(len(peers), mostAsked)] {
		loan := Loan{ID: b.nextID(), Account: account, Peer: peer}
		tally.Asked++
		granted, err := b.ask(ctx, loan, tokens, holds)
		if granted {
			return loan, tally, true
		}
		if err != nil {
			tally.Unanswered++
		}
	}
	b.noteShortage(account, tokens)
	return Loan{}, tally, false
}

func (b *Borrower) noteShortage(account string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if known := b.nothing[account]; now < known.until {
		tokens = min(tokens, known.tokens)
	}
	b.nothing[account] = shortage{tokens: tokens, until: now + nothingFor}
}

// foundNothing tells whether so many tokens weren't to be had just now; a long prompt
// that found none says nothing of a short one.
func (b *Borrower) foundNothing(account string, tokens int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.nothing[account]
	return b.clock.Now() < known.until && tokens >= known.tokens
}

func (b *Borrower) nextID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loans++
	return b.name + "/" + strconv.FormatUint(b.loans, 10)
}

// order returns the peers that may cover a request: near ones first, drawn by their room,
// so that borrowers rarely ask where little is left, and don't all drain the fullest one.
func (b *Borrower) order(account string, tokens int64) []Peer {
	peers := slices.DeleteFunc(b.peers(account), func(p Peer) bool {
		return p.Ceiling < tokens || b.saidLess(lenderOf{account, p.Node}, tokens)
	})
	keys := make(map[string]float64, len(peers))
	for _, p := range peers {
		keys[p.Node] = -math.Log(1-rand.Float64()) / float64(max(p.Unused, p.Ceiling/leastRoom))
	}
	slices.SortFunc(peers, func(x, y Peer) int {
		if x.SameRegion != y.SameRegion {
			if x.SameRegion {
				return -1
			}
			return 1
		}
		return cmp.Compare(keys[x.Node], keys[y.Node])
	})
	return peers
}

// saidLess tells whether a lender said just now that it has less than so many tokens.
func (b *Borrower) saidLess(l lenderOf, tokens int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	said, ok := b.spare[l]
	return ok && b.clock.Now() < said.until && said.tokens < tokens
}

func (b *Borrower) noteSpare(l lenderOf, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spare[l] = shortage{tokens: tokens, until: b.clock.Now() + spareFor}
}

func (b *Borrower) ask(ctx context.Context, loan Loan, tokens int64, holds bool) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := b.caller.Call(ctx, loan.Peer.Address, Request{LoanID: loan.ID, Account: loan.Account, Tokens: tokens, HasAllocation: holds})
	if err != nil {
		// The peer may have reserved all the same.
		go b.Settle(loan, 0)
		return false, err
	}
	b.noteSpare(lenderOf{loan.Account, loan.Peer.Node}, reply.Lendable)
	return reply.Granted, nil
}

// Settle tells the lender what a loan's request used. It returns once that is known or
// given up, so callers run it on its own.
func (b *Borrower) Settle(loan Loan, used int64) {
	for range settleTries {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		_, err := b.caller.Call(ctx, loan.Peer.Address, Request{LoanID: loan.ID, Account: loan.Account, Tokens: used, Settle: true})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(settlePause)
	}
}
