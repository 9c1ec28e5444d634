package check

import (
	"fmt"
	"time"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/internal/fake"
	"lavenderpin.dev/lavenderpin/record"
)

// onItsWay is how long a request that was checked and sent may take to arrive.
const onItsWay = 50 * time.Millisecond

// bill is what the log charges for one request.
type bill struct {
	budget string
	tokens uint64
}

// replay is the log's own account of a history. Money is added up here by request
// id, apart from the ledger, so that a ledger that counts twice is found out.
type replay struct {
	ledger *budget.Ledger
	config *config.State
	bills  map[string]bill
	// prepaid and billed are totals by budget.
	prepaid map[string]uint64
	billed  map[string]uint64
	topUps  map[string]bool
	lines   map[uint64][]budget.Line
	// changes holds the version that each accepted change made, by change id.
	changes map[string]uint64
	// rights holds each incarnation's heartbeats as they reached the log.
	rights map[string][]right
	offset uint64
	// firstVersion is what the resource under test was declared at.
	firstVersion uint64
	faults       []Violation
}

// replayLog folds the records of a history; keep names the offsets whose lines
// are wanted afterwards.
func replayLog(records []fake.ArchivedRecord, keep map[uint64]bool) *replay {
	r := &replay{
		ledger: budget.NewLedger(), config: config.NewState(nil), bills: map[string]bill{},
		prepaid: map[string]uint64{}, billed: map[string]uint64{}, topUps: map[string]bool{}, lines: map[uint64][]budget.Line{},
		changes: map[string]uint64{}, rights: map[string][]right{},
	}
	engine := fold.NewEngine(r.config, r.ledger)
	for _, held := range records {
		batches, err := record.Decode(held.Data)
		if err != nil {
			continue
		}
		verdicts := engine.ApplyRecord(held.Offset, batches)
		r.offset = held.Offset
		for i, batch := range batches {
			r.countBatch(held.At, batch, verdicts[i])
		}
		if r.firstVersion == 0 {
			r.firstVersion = underTest(r.config.View()).GetVersion()
		}
		r.checkLines(held.Offset)
		if keep[held.Offset] {
			r.lines[held.Offset] = r.ledger.Budgets()
		}
	}
	return r
}

func (r *replay) countBatch(at time.Time, batch *recordv1.Batch, verdicts []fold.Verdict) {
	for i, verdict := range verdicts {
		if verdict.OK() {
			r.count(batch.GetEntries()[i], verdict)
			r.countRight(at, batch.GetWriter(), batch.GetEntries()[i])
		}
	}
}

func (r *replay) count(entry *recordv1.Entry, verdict fold.Verdict) {
	if change := entry.GetConfig(); change != nil {
		r.changes[change.GetChangeId()] = verdict.Version
	}
	if topUp := entry.GetTopUp().GetTopUp(); topUp != nil && !r.topUps[topUp.GetId()] {
		r.topUps[topUp.GetId()] = true
		r.prepaid[topUp.GetBudget()] += topUp.GetTokens()
	}
	for _, s := range entry.GetSettlements().GetSettlements() {
		if _, known := r.bills[s.GetRequest()]; !known {
			r.bills[s.GetRequest()] = bill{s.GetBudget(), s.GetTokens()}
			r.billed[s.GetBudget()] += s.GetTokens()
		}
	}
}

// right is a span within which an incarnation may spend.
type right struct{ from, until time.Time }

func (r *replay) countRight(at time.Time, writer string, entry *recordv1.Entry) {
	if beat := entry.GetHeartbeat(); beat != nil {
		term := time.Duration(beat.GetRightMs()) * time.Millisecond
		r.rights[writer] = append(r.rights[writer], right{at, at.Add(term)})
	}
}

// mayHaveSpent tells whether a request could rightly reach an upstream at a moment.
func (r *replay) mayHaveSpent(incarnation string, at time.Time) bool {
	for _, held := range r.rights[incarnation] {
		if !at.Before(held.from) && !at.After(held.until.Add(onItsWay)) {
			return true
		}
	}
	return false
}

// checkLines holds the ledger against the count after each record.
func (r *replay) checkLines(offset uint64) {
	for _, line := range r.ledger.Budgets() {
		held := line.Pool + line.Spent
		for _, share := range line.Shares {
			held += share.Remaining()
		}
		switch {
		case line.Spent > r.prepaid[line.Budget]:
			r.fault(WithinBudget, "offset %d: budget %s has spent %d of %d", offset, line.Budget, line.Spent, r.prepaid[line.Budget])
		case held != r.prepaid[line.Budget]:
			r.fault(WithinBudget, "offset %d: budget %s holds %d of %d prepaid", offset, line.Budget, held, r.prepaid[line.Budget])
		case line.Spent != r.billed[line.Budget]:
			r.fault(BilledOnce, "offset %d: budget %s was billed %d, its requests come to %d", offset, line.Budget, line.Spent, r.billed[line.Budget])
		default:
			continue
		}
	}
}

func (r *replay) fault(promise Invariant, format string, args ...any) {
	r.faults = append(r.faults, Violation{Invariant: promise, Text: fmt.Sprintf(format, args...)})
}
