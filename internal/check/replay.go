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

// deliveryAllowance is how long a request may be in transit after its node checked and sent
// it.
const deliveryAllowance = 50 * time.Millisecond

// bill is what the log charges for one request.
type bill struct {
	budget string
	tokens uint64
}

// replay is the state of a history computed from the log alone. It sums money by request ID,
// independently of the ledger, to detect a ledger that counts twice.
type replay struct {
	ledger *budget.Ledger
	config *config.State
	bills  map[string]bill
	// prepaid and billed are totals by budget.
	prepaid map[string]uint64
	billed  map[string]uint64
	topUps  map[string]bool
	lines   map[uint64][]budget.Line
	// changes holds the version created by each accepted change, by change ID.
	changes map[string]uint64
	// spendRights holds the spend rights that each incarnation's heartbeats granted as they
	// reached the log.
	spendRights map[string][]spendRight
	offset      uint64
	// firstVersion is the version at which the resource under test was declared.
	firstVersion uint64
	violations   []Violation
}

// replayLog folds the records of a history; keep names the offsets whose ledger lines are
// kept.
func replayLog(records []fake.ArchivedRecord, keep map[uint64]bool) *replay {
	r := &replay{
		ledger: budget.NewLedger(), config: config.NewState(nil), bills: map[string]bill{},
		prepaid: map[string]uint64{}, billed: map[string]uint64{}, topUps: map[string]bool{}, lines: map[uint64][]budget.Line{},
		changes: map[string]uint64{}, spendRights: map[string][]spendRight{},
	}
	engine := fold.NewEngine(r.config, r.ledger)
	for _, archived := range records {
		batches, err := record.Decode(archived.Data)
		if err != nil {
			continue
		}
		verdicts := engine.ApplyRecord(archived.Offset, batches)
		r.offset = archived.Offset
		for i, batch := range batches {
			r.countBatch(archived.At, batch, verdicts[i])
		}
		if r.firstVersion == 0 {
			r.firstVersion = resourceUnderTest(r.config.View()).GetVersion()
		}
		r.checkLedger(archived.Offset)
		if keep[archived.Offset] {
			r.lines[archived.Offset] = r.ledger.Budgets()
		}
	}
	return r
}

func (r *replay) countBatch(at time.Time, batch *recordv1.Batch, verdicts []fold.Verdict) {
	for i, verdict := range verdicts {
		if verdict.OK() {
			r.count(batch.GetEntries()[i], verdict)
			r.recordSpendRight(at, batch.GetWriter(), batch.GetEntries()[i])
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

// spendRight is an interval in which an incarnation may spend.
type spendRight struct{ from, until time.Time }

func (r *replay) recordSpendRight(at time.Time, writer string, entry *recordv1.Entry) {
	if heartbeat := entry.GetHeartbeat(); heartbeat != nil {
		term := time.Duration(heartbeat.GetRightMs()) * time.Millisecond
		r.spendRights[writer] = append(r.spendRights[writer], spendRight{at, at.Add(term)})
	}
}

// heldSpendRight reports whether a request of the incarnation could legitimately reach an
// upstream at the given time.
func (r *replay) heldSpendRight(incarnation string, at time.Time) bool {
	for _, right := range r.spendRights[incarnation] {
		if !at.Before(right.from) && !at.After(right.until.Add(deliveryAllowance)) {
			return true
		}
	}
	return false
}

// checkLedger compares the ledger with the independent totals after each record.
func (r *replay) checkLedger(offset uint64) {
	for _, line := range r.ledger.Budgets() {
		total := line.Pool + line.Spent
		for _, share := range line.Shares {
			total += share.Remaining()
		}
		switch {
		case line.Spent > r.prepaid[line.Budget]:
			r.report(WithinBudget, "offset %d: budget %s has spent %d of %d prepaid tokens", offset, line.Budget, line.Spent, r.prepaid[line.Budget])
		case total != r.prepaid[line.Budget]:
			r.report(WithinBudget, "offset %d: budget %s accounts for %d of %d prepaid tokens", offset, line.Budget, total, r.prepaid[line.Budget])
		case line.Spent != r.billed[line.Budget]:
			r.report(BilledOnce, "offset %d: budget %s was billed %d tokens, but its requests add up to %d", offset, line.Budget, line.Spent, r.billed[line.Budget])
		default:
			continue
		}
	}
}

func (r *replay) report(invariant Invariant, format string, args ...any) {
	r.violations = append(r.violations, Violation{Invariant: invariant, Text: fmt.Sprintf(format, args...)})
}
