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

// silentInterval is how often a node looks for members that don't answer: as often as
// nodes flush their own settlements.
const silentInterval = 200 * time.Millisecond

// SilentSettlerConfig is what a SilentSettler works with.
type SilentSettlerConfig struct {
	Clock   clockwork.Clock
	Ledger  *budget.Ledger
	Journal budget.Submitter
	Store   *witness.Store
	Events  *event.Recorder
	// Suspect tells whether a node doesn't answer.
	Suspect func(incarnation string) bool
	// MayWrite tells whether the log is in reach and every node folds what a witness
	// settles for an open incarnation.
	MayWrite func() bool
}

// SilentSettler puts into the log, without waiting for its close, what a silent node had
// said that its finished requests used. Until then this knowledge is in the memory of the
// node's witnesses alone, and lost if they die as well: answers would go unbilled.
//
// The node may live behind a cut and settle the same requests; the figures are its own,
// and the ledger takes each request once.
type SilentSettler struct {
	c SilentSettlerConfig
	// pending holds the last entry written for each incarnation, until its verdict is known.
	pending map[string]*recordlog.Ticket
}

// NewSilentSettler returns a settler; Run must run for it to work.
func NewSilentSettler(config SilentSettlerConfig) *SilentSettler {
	return &SilentSettler{c: config, pending: map[string]*recordlog.Ticket{}}
}

// Run works until ctx ends.
func (s *SilentSettler) Run(ctx context.Context) {
	periodic.Run(ctx, s.c.Clock, silentInterval, func(context.Context) { s.step() })
}

func (s *SilentSettler) step() {
	remembered := s.c.Store.Incarnations()
	maps.DeleteFunc(s.pending, func(incarnation string, _ *recordlog.Ticket) bool {
		return !slices.Contains(remembered, incarnation)
	})
	for _, incarnation := range remembered {
		if s.c.Suspect(incarnation) && s.c.Ledger.Known(incarnation) && !s.awaits(incarnation) && s.c.MayWrite() {
			s.settle(incarnation)
		}
	}
}

// awaits tells whether an entry for the incarnation has no verdict yet. What was taken has
// left the memory by the time its verdict is known.
func (s *SilentSettler) awaits(incarnation string) bool {
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

// settle writes one entry; what doesn't fit follows once its verdict is known.
func (s *SilentSettler) settle(incarnation string) {
	var settlements []*recordv1.Settlement
	for _, open := range s.c.Store.Finished(incarnation) {
		if billed := budget.BilledTokens(open, open.GetUsed()); billed > 0 {
			settlements = append(settlements, &recordv1.Settlement{Request: open.GetRequest(), Budget: open.GetBudget(), Tokens: billed})
		}
	}
	if len(settlements) == 0 {
		return
	}
	first := settlementEntries(incarnation, settlements)[0]
	s.pending[incarnation] = s.c.Journal.Submit(first)
	tokens := uint64(0)
	for _, settled := range first.GetSettlements().GetSettlements() {
		tokens += settled.GetTokens()
	}
	s.c.Events.Record(event.SettledForSilent, "incarnation", incarnation, "requests", len(first.GetSettlements().GetSettlements()), "tokens", tokens)
}
