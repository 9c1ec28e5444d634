package recordlog

import (
	"context"
	"sync/atomic"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// Ticket tracks a submitted entry until its verdict is known.
type Ticket struct {
	entry   *recordv1.Entry
	verdict chan fold.Verdict
	state   atomic.Int32
}

const (
	ticketQueued int32 = iota
	ticketSent
	ticketWithdrawn
)

func newTicket(entry *recordv1.Entry) *Ticket {
	return &Ticket{entry: entry, verdict: make(chan fold.Verdict, 1)}
}

// Withdraw cancels the entry. True means that it never left this node, so that nothing
// was changed; false means that it may still take effect.
func (t *Ticket) Withdraw() bool {
	return t.state.CompareAndSwap(ticketQueued, ticketWithdrawn) || t.state.Load() == ticketWithdrawn
}

func (t *Ticket) withdrawn() bool { return t.state.Load() == ticketWithdrawn }

// markSent marks the entry as part of a batch; false when it was withdrawn.
func (t *Ticket) markSent() bool { return t.state.CompareAndSwap(ticketQueued, ticketSent) }

// Done returns a channel that delivers the verdict once.
func (t *Ticket) Done() <-chan fold.Verdict { return t.verdict }

// Wait returns the verdict. When ctx ends first it fails with LogUnavailable if
// the entry never left this node, and with ChangeOutcomeOpen otherwise.
func (t *Ticket) Wait(ctx context.Context) (fold.Verdict, error) {
	select {
	case verdict := <-t.verdict:
		return verdict, nil
	case <-ctx.Done():
	}
	if t.Withdraw() {
		return fold.Verdict{}, result.New(result.LogUnavailable, "the log took no append; nothing was changed")
	}
	return fold.Verdict{}, result.New(result.ChangeOutcomeOpen, "the log has not shown the entry yet")
}
