package budget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// spendRightRetryAfter is the retry delay given to a caller when this node, or a lender, has no
// right to spend.
const spendRightRetryAfter = 5 * time.Second

// ShareHolder manages one incarnation's shares locally. Reserve and Finish take no lock shared
// between requests; they are safe for concurrent use.
type ShareHolder struct {
	incarnation string
	clock       clockwork.Clock
	right       *spendRight
	shares      sync.Map // budget name -> *localShare
	open        openSet
	settlements settlementQueue
}

// maxPendingSettlements bounds the settlements waiting for the log, about 60 MB. During a log
// outage of hours they would otherwise grow until the node dies and they are lost. Beyond the
// bound the node refuses requests with SettlementBacklog.
const maxPendingSettlements = 500_000

// maxSettlementsPerBatch bounds the size of one log entry.
const maxSettlementsPerBatch = 5_000

// localShare is what the node may still reserve of one budget, in tokens.
type localShare struct {
	available atomic.Int64
	// used counts the tokens billed by finished requests, for the sizing policy.
	used atomic.Int64
}

// NewShareHolder returns a holder with no shares and no right to spend.
func NewShareHolder(incarnation string, clock clockwork.Clock) *ShareHolder {
	return &ShareHolder{incarnation: incarnation, clock: clock, right: newSpendRight(clock)}
}

// Incarnation returns the incarnation that owns the shares.
func (h *ShareHolder) Incarnation() string { return h.incarnation }

// ExtendRight lets the incarnation spend until the given time. It must be one full term after
// the append of the accepted heartbeat began, never after its response arrived: whoever closes
// the incarnation counts from when it read the heartbeat.
func (h *ShareHolder) ExtendRight(until time.Time) { h.right.extend(until) }

// RightRemaining returns how long the incarnation may still spend; zero or negative once the
// right has lapsed.
func (h *ShareHolder) RightRemaining() time.Duration { return h.right.remaining() }

// RevokeRight ends the right permanently, once the incarnation learns that it is closed.
func (h *ShareHolder) RevokeRight() { h.right.revoke() }

// checkRight returns an error if the right to spend has lapsed.
func (h *ShareHolder) checkRight() error {
	if h.RightRemaining() <= 0 {
		return result.New(result.SpendRightLapsed, "the right to spend has lapsed").WithRetryAfter(spendRightRetryAfter)
	}
	return nil
}

// checkReserve returns an error if no new reservation is allowed.
func (h *ShareHolder) checkReserve() error {
	if err := h.checkRight(); err != nil {
		return err
	}
	if h.settlements.len() >= maxPendingSettlements {
		return result.New(result.SettlementBacklog, "%d settlements wait for the log", maxPendingSettlements).WithRetryAfter(spendRightRetryAfter)
	}
	return nil
}

func (h *ShareHolder) share(budget string) *localShare {
	if loaded, ok := h.shares.Load(budget); ok {
		return loaded.(*localShare)
	}
	loaded, _ := h.shares.LoadOrStore(budget, &localShare{})
	return loaded.(*localShare)
}

// Credit adds tokens that the log granted or moved to this incarnation.
func (h *ShareHolder) Credit(budget string, tokens uint64) {
	h.share(budget).available.Add(int64(tokens))
}

// Debit removes up to tokens from the unreserved part, to return or move them through the log,
// and returns the number removed.
func (h *ShareHolder) Debit(budget string, tokens uint64) uint64 {
	return h.share(budget).take(tokens, true)
}

// Available returns the tokens of a budget that this node can still reserve.
func (h *ShareHolder) Available(budget string) uint64 {
	return uint64(max(0, h.share(budget).available.Load()))
}

// Used returns the tokens of a budget billed on this node so far.
func (h *ShareHolder) Used(budget string) uint64 { return uint64(h.share(budget).used.Load()) }

// Budgets returns the names of the budgets of which this node holds or has held a share.
func (h *ShareHolder) Budgets() []string {
	var names []string
	h.shares.Range(func(name, _ any) bool {
		names = append(names, name.(string))
		return true
	})
	return names
}

// Reserve reserves a request's worst case from the share. It fails with SpendRightLapsed, with
// SettlementBacklog, or with BudgetSpent if the share is too small: the caller decides whether
// the rest of the fleet can cover the request.
func (h *ShareHolder) Reserve(budget string, tokens uint64) (*Reservation, error) {
	if err := h.checkReserve(); err != nil {
		return nil, err
	}
	share := h.share(budget)
	if share.take(tokens, false) == 0 && tokens > 0 {
		return nil, result.New(result.BudgetSpent, "the share holds less than %d tokens", tokens)
	}
	return h.open.add(h, share, budget, tokens), nil
}

// ReserveUpTo is like Reserve but reserves whatever the share has, at most tokens.
func (h *ShareHolder) ReserveUpTo(budget string, tokens uint64) (*Reservation, error) {
	if err := h.checkReserve(); err != nil {
		return nil, err
	}
	share := h.share(budget)
	taken := share.take(tokens, true)
	if taken == 0 {
		return nil, result.New(result.BudgetSpent, "the share is empty")
	}
	return h.open.add(h, share, budget, taken), nil
}

// take removes tokens from the unreserved part: all of them or none, or with allowPartial as
// many as available. It returns the number removed.
func (s *localShare) take(tokens uint64, allowPartial bool) uint64 {
	for {
		unreserved := s.available.Load()
		taken := min(int64(tokens), unreserved)
		if taken <= 0 || (!allowPartial && taken < int64(tokens)) {
			return 0
		}
		if s.available.CompareAndSwap(unreserved, unreserved-taken) {
			return uint64(taken)
		}
	}
}

// ReserveEmpty opens a reservation of 0 tokens, which gives an id to a request whose tokens are
// reserved on other nodes.
func (h *ShareHolder) ReserveEmpty(budget string) (*Reservation, error) {
	if err := h.checkReserve(); err != nil {
		return nil, err
	}
	return h.open.add(h, h.share(budget), budget, 0), nil
}

// TakeSettlements removes the queued settlements and returns them as a log entry; nil if there
// are none. A long queue takes several calls.
//
// The oldest open counter is read before the settlements are taken: a request leaves the open
// set only after its settlement is queued, so everything below that counter is in this entry or
// an earlier one. In the reverse order the ledger would skip a settlement as already applied,
// and the request would go unbilled. For the same reason a settlement left for the next call
// counts as open.
func (h *ShareHolder) TakeSettlements() *recordv1.SettlementBatch {
	if h.settlements.len() == 0 {
		return nil
	}
	oldest := h.open.oldest()
	taken, oldestRemaining := h.settlements.take(maxSettlementsPerBatch)
	if len(taken) == 0 {
		return nil
	}
	return &recordv1.SettlementBatch{
		Incarnation: h.incarnation, Settlements: taken, OldestOpen: min(oldest, oldestRemaining),
	}
}

// PendingSettlements returns the number of settlements waiting to be taken.
func (h *ShareHolder) PendingSettlements() int { return h.settlements.len() }

// OpenReservations returns the number of reservations neither finished nor cancelled.
func (h *ShareHolder) OpenReservations() int { return h.open.len() }
