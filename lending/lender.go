package lending

import (
	"context"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/prepaid"
)

// loanTTL is how long a loan may stay open. It exceeds the longest request; after it the
// borrower has died or is unreachable, and the loan counts as used.
const loanTTL = 45 * time.Second

// Lender reserves tokens of this node's share for other nodes. It is safe for concurrent use.
type Lender struct {
	share *prepaid.Share
	clock bootclock.Clock
	// report raises the share's limits.
	report func(context.Context) error

	mu    sync.Mutex
	loans map[string]*loan
}

// loan is an open loan, or one that was settled before it was requested.
type loan struct {
	account string
	tokens  int64
	settled bool
	expires time.Duration
}

// NewLender returns a lender without loans.
func NewLender(share *prepaid.Share, clock bootclock.Clock, report func(context.Context) error) *Lender {
	return &Lender{share: share, clock: clock, report: report, loans: make(map[string]*loan)}
}

// Handle serves a loan request or a settlement.
func (l *Lender) Handle(ctx context.Context, request Request) Reply {
	if request.Settle {
		l.settle(request.LoanID, request.Tokens)
		return Reply{Granted: true}
	}
	granted := l.lend(ctx, request)
	return Reply{Granted: granted, Lendable: l.share.Lendable(request.Account)}
}

func (l *Lender) lend(ctx context.Context, request Request) bool {
	outcome := l.share.Lend(request.Account, request.Tokens, request.HasAllocation)
	for outcome == prepaid.ReportRequired && l.report(ctx) == nil {
		outcome = l.share.Lend(request.Account, request.Tokens, true)
	}
	if outcome != prepaid.Reserved {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.loans[request.LoanID]; known {
		// The borrower gave up and settled before its request arrived, or the request is a
		// duplicate.
		l.share.Settle(request.Account, request.Tokens, 0)
		return false
	}
	l.loans[request.LoanID] = &loan{account: request.Account, tokens: request.Tokens, expires: l.clock.Now() + loanTTL}
	return true
}

func (l *Lender) settle(id string, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.loans[id]
	if !known {
		l.loans[id] = &loan{settled: true, expires: l.clock.Now() + loanTTL}
		return
	}
	if entry.settled {
		return
	}
	entry.settled = true
	l.share.Settle(entry.account, entry.tokens, used)
}

// Expire settles expired loans in full.
func (l *Lender) Expire() {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, entry := range l.loans {
		if now < entry.expires {
			continue
		}
		if !entry.settled {
			l.share.Settle(entry.account, entry.tokens, entry.tokens)
		}
		delete(l.loans, id)
	}
}
