package lending

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

const (
	// mostAsked bounds the peers that are asked for one request.
	mostAsked = 3
	// askTimeout bounds one ask: a round trip between regions and a report.
	askTimeout = 200 * time.Millisecond
	// nothingFor is how long an account that no asked peer had tokens of isn't asked
	// for again, so that an exhausted account doesn't cost three asks a request.
	nothingFor = 300 * time.Millisecond
	// settleTries bounds the tries to settle a loan; then it counts as used.
	settleTries = 4
	// settlePause is the pause between them.
	settlePause = 500 * time.Millisecond
)

// Peer is a node that may lend.
type Peer struct {
	Node    string
	Address string
	// Near tells that it stands in this node's region.
	Near bool
	// Ceiling is what it was last granted of the account, in tokens.
	Ceiling int64
}

// Caller carries an ask to a peer.
type Caller interface {
	Call(ctx context.Context, address string, ask Ask) (Reply, error)
}

// Borrower borrows from peers. It is safe for concurrent use.
type Borrower struct {
	caller Caller
	clock  bootclock.Clock
	// peers returns the peers that hold some of an account.
	peers func(account string) []Peer
	name  string

	mu      sync.Mutex
	loans   uint64
	nothing map[string]time.Duration
}

// NewBorrower returns a borrower; name tells its loans from other nodes'.
func NewBorrower(caller Caller, clock bootclock.Clock, name string, peers func(account string) []Peer) *Borrower {
	return &Borrower{caller: caller, clock: clock, name: name, peers: peers, nothing: make(map[string]time.Duration)}
}

// Loan is what a peer reserved for a request.
type Loan struct {
	ID      string
	Account string
	Peer    Peer
}

// Borrow asks peers for a request's tokens, the ones with the highest ceilings nearby
// first. holds tells whether this node has a part of the account itself.
func (b *Borrower) Borrow(ctx context.Context, account string, tokens int64, holds bool) (Loan, bool) {
	if b.foundNothing(account) {
		return Loan{}, false
	}
	for _, peer := range b.order(account, tokens) {
		loan := Loan{ID: b.nextID(), Account: account, Peer: peer}
		if b.ask(ctx, loan, tokens, holds) {
			return loan, true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nothing[account] = b.clock.Now() + nothingFor
	return Loan{}, false
}

func (b *Borrower) foundNothing(account string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clock.Now() < b.nothing[account]
}

func (b *Borrower) nextID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loans++
	return b.name + "/" + strconv.FormatUint(b.loans, 10)
}

func (b *Borrower) order(account string, tokens int64) []Peer {
	peers := slices.DeleteFunc(b.peers(account), func(p Peer) bool { return p.Ceiling < tokens })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(x, y Peer) int {
		if x.Near != y.Near {
			if x.Near {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.Ceiling, x.Ceiling)
	})
	return peers[:min(len(peers), mostAsked)]
}

func (b *Borrower) ask(ctx context.Context, loan Loan, tokens int64, holds bool) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := b.caller.Call(ctx, loan.Peer.Address, Ask{Loan: loan.ID, Account: loan.Account, Tokens: tokens, Holds: holds})
	if err != nil {
		// The peer may have reserved all the same.
		go b.Settle(loan, 0)
		return false
	}
	return reply.Granted
}

// Settle tells the lender what a loan's request used. It returns once that is known or
// given up, so callers run it on its own.
func (b *Borrower) Settle(loan Loan, used int64) {
	for range settleTries {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		_, err := b.caller.Call(ctx, loan.Peer.Address, Ask{Loan: loan.ID, Account: loan.Account, Tokens: used, Settle: true})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(settlePause)
	}
}
