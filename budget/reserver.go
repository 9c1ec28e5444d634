package budget

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/journal"
	"lavenderpin.dev/lavenderpin/result"
)

// claimWait bounds how long a request waits for a claim on the pool.
const claimWait = 2 * time.Second

// Submitter queues an entry for the log; journal.Writer is one.
type Submitter interface {
	Submit(entry *recordv1.Entry) *journal.Ticket
}

// Grant is a reservation that covers a request, wherever its tokens are held.
type Grant interface {
	Request() RequestID
	// Dispatch must be called right before the request is sent to an upstream. It
	// fails when the right to spend has lapsed since the reservation; nothing may
	// be sent then.
	Dispatch(ctx context.Context, upstream string) error
	// Progress notes the tokens delivered to the caller so far.
	Progress(delivered uint64)
	// Finish bills the tokens used and gives the rest back; only the first call counts.
	Finish(used uint64)
}

// Request implements Grant.
func (r *Reservation) Request() RequestID { return r.ID }

// Dispatch implements Grant.
func (r *Reservation) Dispatch(context.Context, string) error {
	if r.holder.RightLeft() <= 0 {
		return result.New(result.SpendRightLapsed, "the right to spend has lapsed")
	}
	return nil
}

// Progress implements Grant.
func (r *Reservation) Progress(uint64) {}

// Reserver covers requests: out of the node's share, else out of the pool.
type Reserver struct {
	holder  *Holder
	ledger  *Ledger
	journal Submitter
	events  *event.Recorder
	// Chunk is the least that is claimed from the pool at a time, in tokens.
	Chunk uint64
}

// NewReserver returns a reserver over a node's shares.
func NewReserver(holder *Holder, ledger *Ledger, journal Submitter, events *event.Recorder, chunk uint64) *Reserver {
	return &Reserver{holder: holder, ledger: ledger, journal: journal, events: events, Chunk: chunk}
}

// Reserve takes a request's worst case out of a budget, in tokens. It fails with
// BudgetSpent, BudgetUnreachable or SpendRightLapsed.
func (r *Reserver) Reserve(ctx context.Context, budget string, tokens uint64) (Grant, error) {
	reservation, err := r.holder.Reserve(budget, tokens)
	if result.CodeOf(err) != result.BudgetSpent {
		return asGrant(reservation, err)
	}
	if err := r.claim(ctx, budget, tokens); err != nil {
		return nil, err
	}
	return asGrant(r.holder.Reserve(budget, tokens))
}

func asGrant(r *Reservation, err error) (Grant, error) {
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Reserver) claim(ctx context.Context, budget string, tokens uint64) error {
	if r.ledger.Budget(budget).Pool == 0 {
		return result.New(result.BudgetSpent, "budget %s has nothing left for this request", budget)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, r.holder.clock, claimWait)
	defer cancel()
	ticket := r.journal.Submit(&recordv1.Entry{Body: &recordv1.Entry_ShareClaim{
		ShareClaim: &recordv1.ShareClaim{Budget: budget, Tokens: max(tokens, r.Chunk)},
	}})
	verdict, err := ticket.Wait(ctx)
	if err != nil {
		return result.New(result.BudgetUnreachable, "the pool of budget %s can't be reached", budget).After(claimWait)
	}
	return verdict.Err()
}

// Folded credits what the log granted or moved to this incarnation. It must be
// called with each batch in offset order, before tickets get their verdicts.
func (r *Reserver) Folded(batch *recordv1.Batch, verdicts []fold.Verdict) {
	own := batch.GetWriter() == r.holder.Incarnation()
	for i, verdict := range verdicts {
		if !verdict.OK() {
			continue
		}
		entry := batch.GetEntries()[i]
		if claim := entry.GetShareClaim(); own && claim != nil {
			r.holder.Credit(claim.GetBudget(), verdict.Tokens)
			r.events.Record(event.ShareGranted, "budget", claim.GetBudget(), "tokens", verdict.Tokens)
		}
		if move := entry.GetShareMove(); move != nil && move.GetTo() == r.holder.Incarnation() {
			r.holder.Credit(move.GetBudget(), verdict.Tokens)
			r.events.Record(event.ShareGranted, "budget", move.GetBudget(), "tokens", verdict.Tokens)
		}
	}
}
