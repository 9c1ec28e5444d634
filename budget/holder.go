package budget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// rightRetry is when a caller may try again that met a node without a right to spend.
const rightRetry = 5 * time.Second

// ShareHolder is one incarnation's own side of its shares. Reserve and Finish take no
// lock that requests share; they are safe for concurrent use.
type ShareHolder struct {
	incarnation string
	clock       clockwork.Clock
	right       *spendRight
	shares      sync.Map // budget name -> *localShare
	open        openSet
	settled     settledQueue
}

// maxUnsettled bounds the settlements that wait for the log, about 60 MB. A log
// that is down for hours would otherwise let them grow until the node dies, and
// with it what they say. Beyond the bound the node refuses with SettlementBacklog.
const maxUnsettled = 500_000

// maxSettlementsPerBatch bounds one log entry.
const maxSettlementsPerBatch = 5_000

// localShare is what the node may still reserve of one budget, in tokens.
type localShare struct {
	available atomic.Int64
	// used counts tokens finished, for sizing policies.
	used atomic.Int64
}

// NewShareHolder returns a holder without shares and without a right to spend.
func NewShareHolder(incarnation string, clock clockwork.Clock) *ShareHolder {
	return &ShareHolder{incarnation: incarnation, clock: clock, right: newSpendRight(clock)}
}

// Incarnation returns the incarnation whose shares these are.
func (h *ShareHolder) Incarnation() string { return h.incarnation }

// ExtendRight lets the incarnation spend until the given moment. The moment must
// lie a full term after the append of the accepted heartbeat began, never after
// its answer came: whoever closes the incarnation counts from when it read it.
func (h *ShareHolder) ExtendRight(until time.Time) { h.right.extend(until) }

// RightRemaining returns how long the incarnation may still spend; not positive when the
// right has lapsed.
func (h *ShareHolder) RightRemaining() time.Duration { return h.right.left() }

// RevokeRight ends the right for good, for an incarnation that learned that it is closed.
func (h *ShareHolder) RevokeRight() { h.right.revoke() }

// checkRight fails when nothing more may be spent.
func (h *ShareHolder) checkRight() error {
	if h.RightRemaining() <= 0 {
		return result.New(result.SpendRightLapsed, "the right to spend has lapsed").After(rightRetry)
	}
	return nil
}

// admit fails when nothing more may be reserved.
func (h *ShareHolder) admit() error {
	if err := h.checkRight(); err != nil {
		return err
	}
	if h.settled.len() >= maxUnsettled {
		return result.New(result.SettlementBacklog, "%d settlements wait for the log", maxUnsettled).After(rightRetry)
	}
	return nil
}

func (h *ShareHolder) share(budget string) *localShare {
	if held, ok := h.shares.Load(budget); ok {
		return held.(*localShare)
	}
	held, _ := h.shares.LoadOrStore(budget, &localShare{})
	return held.(*localShare)
}

// Credit adds tokens that the log granted or moved to this incarnation.
func (h *ShareHolder) Credit(budget string, tokens uint64) {
	h.share(budget).available.Add(int64(tokens))
}

// Debit takes up to tokens out of the unreserved part, to return or move them
// through the log; it returns how many it took.
func (h *ShareHolder) Debit(budget string, tokens uint64) uint64 {
	return h.share(budget).take(tokens, true)
}

// Available returns the tokens of a budget that this node may still reserve.
func (h *ShareHolder) Available(budget string) uint64 {
	return uint64(max(0, h.share(budget).available.Load()))
}

// Used returns the tokens of a budget finished on this node so far.
func (h *ShareHolder) Used(budget string) uint64 { return uint64(h.share(budget).used.Load()) }

// Budgets returns the names of the budgets that this node holds or held a share of.
func (h *ShareHolder) Budgets() []string {
	var names []string
	h.shares.Range(func(name, _ any) bool {
		names = append(names, name.(string))
		return true
	})
	return names
}

// Reserve takes a request's worst case out of the share. It fails with
// SpendRightLapsed, or with BudgetSpent when the share is too small: the caller
// decides whether the fleet can cover it elsewhere.
func (h *ShareHolder) Reserve(budget string, tokens uint64) (*Reservation, error) {
	if err := h.admit(); err != nil {
		return nil, err
	}
	share := h.share(budget)
	if share.take(tokens, false) == 0 && tokens > 0 {
		return nil, result.New(result.BudgetSpent, "the share holds less than %d tokens", tokens)
	}
	return h.open.add(h, share, budget, tokens), nil
}

// ReserveUpTo is Reserve for as many tokens as the share has, at most tokens.
func (h *ShareHolder) ReserveUpTo(budget string, tokens uint64) (*Reservation, error) {
	if err := h.admit(); err != nil {
		return nil, err
	}
	share := h.share(budget)
	taken := share.take(tokens, true)
	if taken == 0 {
		return nil, result.New(result.BudgetSpent, "the share is empty")
	}
	return h.open.add(h, share, budget, taken), nil
}

// take removes tokens from the unreserved part: all, or with partly set as many
// as there are.
func (s *localShare) take(tokens uint64, partly bool) uint64 {
	for {
		held := s.available.Load()
		taken := min(int64(tokens), held)
		if taken <= 0 || (!partly && taken < int64(tokens)) {
			return 0
		}
		if s.available.CompareAndSwap(held, held-taken) {
			return uint64(taken)
		}
	}
}

// ReserveEmpty opens a request whose tokens other nodes reserve, to give it an id.
func (h *ShareHolder) ReserveEmpty(budget string) (*Reservation, error) {
	if err := h.admit(); err != nil {
		return nil, err
	}
	return h.open.add(h, h.share(budget), budget, 0), nil
}

// TakeSettlements returns the settlements finished since the last call, as a log
// entry; nil when nothing changed. A long queue is returned in several calls.
//
// The oldest open counter is read before the settlements are taken: a request
// leaves the open set only after its settlement is queued, so whatever lies below
// that counter is in this entry or an earlier one. In the other order the fold
// would pass a settlement over as already known, and the request would go unbilled.
// For the same reason a settlement left for the next call counts as open.
func (h *ShareHolder) TakeSettlements() *recordv1.SettlementBatch {
	if h.settled.len() == 0 {
		return nil
	}
	oldest := h.open.oldest()
	taken, oldestLeft := h.settled.take(maxSettlementsPerBatch)
	if len(taken) == 0 {
		return nil
	}
	return &recordv1.SettlementBatch{
		Incarnation: h.incarnation, Settlements: taken, OldestOpen: min(oldest, oldestLeft),
	}
}

// PendingSettlements returns how many settlements wait to be taken.
func (h *ShareHolder) PendingSettlements() int { return h.settled.len() }

// OpenReservations returns how many reservations are neither finished nor cancelled.
func (h *ShareHolder) OpenReservations() int { return h.open.len() }
