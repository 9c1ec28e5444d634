package lending

import (
	"context"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/prepaid"
)

// loanFor is how long a loan may stay open. It outlasts the longest request; then the
// borrower has died or can't be reached, and the loan counts as used.
const loanFor = 45 * time.Second

// Lender reserves out of this node's share for other nodes. It is safe for concurrent
// use.
type Lender struct {
	share *prepaid.Share
	clock bootclock.Clock
	// report raises the share's drawn limit.
	report func(context.Context) error

	mu    sync.Mutex
	loans map[string]*loan
}

// loan is an open loan, or one that was settled before it was asked for.
type loan struct {
	account string
	tokens  int64
	settled bool
	until   time.Duration
}

// NewLender returns a lender without loans.
func NewLender(share *prepaid.Share, clock bootclock.Clock, report func(context.Context) error) *Lender {
	return &Lender{share: share, clock: clock, report: report, loans: make(map[string]*loan)}
}

// Handle decides an ask.
func (l *Lender) Handle(ctx context.Context, ask Request) Reply {
	if ask.Settle {
		l.settle(ask.LoanID, ask.Tokens)
		return Reply{Granted: true}
	}
	granted := l.lend(ctx, ask)
	return Reply{Granted: granted, Lendable: l.share.Lendable(ask.Account)}
}

func (l *Lender) lend(ctx context.Context, ask Request) bool {
	verdict := l.share.Lend(ask.Account, ask.Tokens, ask.HasAllocation)
	if verdict == prepaid.ReportRequired && l.report(ctx) == nil {
		verdict = l.share.Lend(ask.Account, ask.Tokens, true)
	}
	if verdict != prepaid.Reserved {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.loans[ask.LoanID]; known {
		// The borrower gave up and settled before its ask arrived, or asks twice.
		l.share.Settle(ask.Account, ask.Tokens, 0)
		return false
	}
	l.loans[ask.LoanID] = &loan{account: ask.Account, tokens: ask.Tokens, until: l.clock.Now() + loanFor}
	return true
}

func (l *Lender) settle(id string, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open, known := l.loans[id]
	if !known {
		l.loans[id] = &loan{settled: true, until: l.clock.Now() + loanFor}
		return
	}
	if open.settled {
		return
	}
	open.settled = true
	l.share.Settle(open.account, open.tokens, used)
}

// Expire settles in full the loans whose time is over.
func (l *Lender) Expire() {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, open := range l.loans {
		if now < open.until {
			continue
		}
		if !open.settled {
			l.share.Settle(open.account, open.tokens, open.tokens)
		}
		delete(l.loans, id)
	}
}
