package recovery

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/witness"
)

// settleInterval is the time between two checks for suspected nodes, the same as between two
// flushes of a node's own settlements.
const settleInterval = 200 * time.Millisecond

// SilentSettlerConfig configures a SilentSettler.
type SilentSettlerConfig struct {
	Clock  clockwork.Clock
	Ledger *budget.Ledger
	Log    budget.Submitter
	Store  *witness.Store
	Events *event.Recorder
	// Suspect reports whether a node doesn't answer.
	Suspect func(incarnation string) bool
	// MayWrite reports whether the log is reachable and every node folds settlements that a
	// witness writes for an open incarnation.
	MayWrite func() bool
}

// SilentSettler settles in the log the finished requests that a silent node had reported to
// its witnesses, without waiting for its close. Until then the reports are only in the
// memory of the witnesses; if these died as well, answers would go unbilled.
//
// The node may be alive behind a partition and settle the same requests; the amounts are its
// own, and the ledger applies each request once.
type SilentSettler struct {
	config SilentSettlerConfig
	// pending holds the last entry submitted for each incarnation, until its verdict is known.
	pending map[string]*recordlog.Ticket
}

// NewSilentSettler returns a SilentSettler; Run does the settling.
func NewSilentSettler(config SilentSettlerConfig) *SilentSettler {
	return &SilentSettler{config: config, pending: map[string]*recordlog.Ticket{}}
}

// Run settles for silent nodes until ctx is done.
func (s *SilentSettler) Run(ctx context.Context) {
	periodic.Run(ctx, s.config.Clock, settleInterval, func(context.Context) { s.step() })
}

func (s *SilentSettler) step() {
	incarnations := s.config.Store.Incarnations()
	maps.DeleteFunc(s.pending, func(incarnation string, _ *recordlog.Ticket) bool {
		return !slices.Contains(incarnations, incarnation)
	})
	for _, incarnation := range incarnations {
		if s.config.Suspect(incarnation) && s.config.Ledger.Known(incarnation) && !s.hasPending(incarnation) && s.config.MayWrite() {
			s.settle(incarnation)
		}
	}
}

// hasPending reports whether an entry for the incarnation has no verdict yet. By the time the
// verdict is known, the settled requests have been removed from the store.
func (s *SilentSettler) hasPending(incarnation string) bool {
	ticket := s.pending[incarnation]
	if ticket == nil {
		return false
	}
	select {
	case <-ticket.Done():
		delete(s.pending, incarnation)
		return false
	default:
		return true
	}
}

// settle submits one entry; settlements that don't fit follow once its verdict is known.
func (s *SilentSettler) settle(incarnation string) {
	var settlements []*recordv1.Settlement
	for _, open := range s.config.Store.Finished(incarnation) {
		if billed := budget.BilledTokens(open, open.GetUsed()); billed > 0 {
			settlements = append(settlements, &recordv1.Settlement{Request: open.GetRequest(), Budget: open.GetBudget(), Tokens: billed})
		}
	}
	if len(settlements) == 0 {
		return
	}
	first := settlementEntries(incarnation, settlements)[0]
	s.pending[incarnation] = s.config.Log.Submit(first)
	tokens := uint64(0)
	for _, settled := range first.GetSettlements().GetSettlements() {
		tokens += settled.GetTokens()
	}
	s.config.Events.Record(event.SettledForSilent, "incarnation", incarnation, "requests", len(first.GetSettlements().GetSettlements()), "tokens", tokens)
}
