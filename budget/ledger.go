package budget

import (
	"sort"
	"sync"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// Ledger applies log entries to the state of prepaid budgets, shares, incarnations and
// settlements. One goroutine applies; the reading methods are safe for concurrent use.
type Ledger struct {
	mu           sync.RWMutex
	lines        map[string]*Line
	incarnations map[string]*Incarnation
	topUps       map[string]foldedTopUp
	// excess counts tokens settled beyond an incarnation's share. It is 0 unless a node spent
	// tokens it didn't own; the checkers assert that.
	excess uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	l := &Ledger{}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.lines = map[string]*Line{}
	l.incarnations = map[string]*Incarnation{}
	l.topUps = map[string]foldedTopUp{}
	l.excess = 0
}

// Name implements fold.Part.
func (l *Ledger) Name() string { return "ledger" }

// Apply implements fold.Part.
func (l *Ledger) Apply(at fold.Position, entry *recordv1.Entry) (fold.Verdict, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch body := entry.GetBody().(type) {
	case *recordv1.Entry_TopUp:
		return l.topUp(at, body.TopUp), true
	case *recordv1.Entry_Heartbeat:
		return l.heartbeat(at, body.Heartbeat), true
	case *recordv1.Entry_Close:
		return l.close(at, body.Close), true
	case *recordv1.Entry_ShareClaim:
		return l.claimShare(at, body.ShareClaim), true
	case *recordv1.Entry_ShareReturn:
		return l.returnShare(at, body.ShareReturn), true
	case *recordv1.Entry_ShareMove:
		return l.moveShare(at, body.ShareMove), true
	case *recordv1.Entry_Settlements:
		return l.settle(at, body.Settlements), true
	case *recordv1.Entry_RecoveryDone:
		return l.recoveryDone(at, body.RecoveryDone), true
	}
	return fold.Verdict{}, false
}

func (l *Ledger) line(budget string) *Line {
	line := l.lines[budget]
	if line == nil {
		line = &Line{Budget: budget, Shares: map[string]*Share{}}
		l.lines[budget] = line
	}
	return line
}

// openIncarnation returns an incarnation if it is open, else nil.
func (l *Ledger) openIncarnation(incarnation string) *Incarnation {
	i := l.incarnations[incarnation]
	if i == nil || i.Closed {
		return nil
	}
	return i
}

func (l *Ledger) heartbeat(at fold.Position, hb *recordv1.NodeHeartbeat) fold.Verdict {
	incarnation := l.incarnations[at.Writer]
	switch {
	case incarnation == nil && hb.GetNumber() == 1:
		l.closePredecessor(at, hb.GetNode())
		incarnation = &Incarnation{Opened: at.Offset, Settled: map[uint64]bool{}}
		l.incarnations[at.Writer] = incarnation
	case incarnation == nil || incarnation.Closed:
		return fold.Refuse(at, result.IncarnationClosed, "the incarnation is closed")
	}
	incarnation.Node = hb.GetNode()
	incarnation.Heartbeat = hb.GetNumber()
	incarnation.RightMS = hb.GetRightMs()
	incarnation.Draining = hb.GetDraining()
	return fold.Accept(at)
}

// closePredecessor closes any open incarnation at the address that a new one announces. Only
// one process can hold the address, so the old one is gone; left open, its shares would stay
// frozen until its right to spend ran out.
func (l *Ledger) closePredecessor(at fold.Position, node *recordv1.NodeInfo) {
	for _, i := range l.incarnations {
		if i.Node.GetPeerAddress() != node.GetPeerAddress() {
			continue
		}
		i.Replaced = true
		if !i.Closed {
			i.close(at, ReasonReplaced)
		}
	}
}

func (l *Ledger) close(at fold.Position, entry *recordv1.IncarnationClose) fold.Verdict {
	i := l.openIncarnation(entry.GetIncarnation())
	if i == nil {
		return fold.Refuse(at, result.IncarnationClosed, "the incarnation isn't open")
	}
	own := at.Writer == entry.GetIncarnation()
	if !own && entry.GetLastHeartbeat() != i.Heartbeat {
		return fold.Refuse(at, result.StaleEntry, "a newer heartbeat came first")
	}
	i.close(at, entry.GetReason())
	if own {
		l.release(entry.GetIncarnation())
	}
	return fold.Accept(at)
}

func (l *Ledger) claimShare(at fold.Position, entry *recordv1.ShareClaim) fold.Verdict {
	if l.openIncarnation(at.Writer) == nil {
		return fold.Refuse(at, result.IncarnationClosed, "the incarnation isn't open")
	}
	line := l.line(entry.GetBudget())
	tokens := min(entry.GetTokens(), line.Pool)
	if tokens == 0 {
		return fold.Refuse(at, result.BudgetSpent, "the pool is empty")
	}
	line.Pool -= tokens
	line.share(at.Writer).Granted += tokens
	return fold.Verdict{Offset: at.Offset, Tokens: tokens}
}

func (l *Ledger) returnShare(at fold.Position, entry *recordv1.ShareReturn) fold.Verdict {
	if l.openIncarnation(at.Writer) == nil {
		return fold.Refuse(at, result.IncarnationClosed, "the incarnation isn't open")
	}
	line := l.line(entry.GetBudget())
	share := line.share(at.Writer)
	if share.Remaining() < entry.GetTokens() {
		return fold.Refuse(at, result.BudgetSpent, "the share is smaller")
	}
	share.Granted -= entry.GetTokens()
	line.Pool += entry.GetTokens()
	return fold.Verdict{Offset: at.Offset, Tokens: entry.GetTokens()}
}

// moveShare requires both incarnations to be open. Tokens moved to a closed one would be
// released with it, and could be spent without authorization.
func (l *Ledger) moveShare(at fold.Position, entry *recordv1.ShareMove) fold.Verdict {
	if l.openIncarnation(at.Writer) == nil || l.openIncarnation(entry.GetTo()) == nil {
		return fold.Refuse(at, result.IncarnationClosed, "giver or receiver isn't open")
	}
	line := l.line(entry.GetBudget())
	giver := line.share(at.Writer)
	if giver.Remaining() < entry.GetTokens() {
		return fold.Refuse(at, result.BudgetSpent, "the giver's share is smaller")
	}
	giver.Granted -= entry.GetTokens()
	line.share(entry.GetTo()).Granted += entry.GetTokens()
	return fold.Verdict{Offset: at.Offset, Tokens: entry.GetTokens()}
}

// recoveryDone removes a closed incarnation. The rest of its shares goes back to the pool or,
// if no node could tell what it spent, is written off. The incarnation may do this for itself
// once it has settled everything.
func (l *Ledger) recoveryDone(at fold.Position, entry *recordv1.RecoveryDone) fold.Verdict {
	own := at.Writer == entry.GetIncarnation()
	i := l.incarnations[entry.GetIncarnation()]
	if i == nil || !i.Closed || (!own && l.openIncarnation(at.Writer) == nil) {
		return fold.Refuse(at, result.IncarnationClosed, "nothing to recover")
	}
	if entry.GetLost() {
		return fold.Verdict{Offset: at.Offset, Tokens: l.removeIncarnation(entry.GetIncarnation(), (*Line).writeOff)}
	}
	return fold.Verdict{Offset: at.Offset, Tokens: l.release(entry.GetIncarnation())}
}

func (l *Ledger) release(incarnation string) uint64 {
	return l.removeIncarnation(incarnation, (*Line).release)
}

// removeIncarnation removes an incarnation, passes what remains of each of its shares to
// dispose, and returns the total.
func (l *Ledger) removeIncarnation(incarnation string, dispose func(*Line, uint64)) uint64 {
	total := uint64(0)
	for _, line := range l.lines {
		share := line.Shares[incarnation]
		if share == nil {
			continue
		}
		dispose(line, share.Remaining())
		total += share.Remaining()
		delete(line.Shares, incarnation)
	}
	delete(l.incarnations, incarnation)
	return total
}

// Budget returns a copy of one budget's state; empty for an unknown budget.
func (l *Ledger) Budget(name string) Line {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if line := l.lines[name]; line != nil {
		return line.clone()
	}
	return Line{Budget: name}
}

// Budgets returns a copy of all budgets' states, sorted by name.
func (l *Ledger) Budgets() []Line {
	l.mu.RLock()
	defer l.mu.RUnlock()
	lines := make([]Line, 0, len(l.lines))
	for _, line := range l.lines {
		lines = append(lines, line.clone())
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].Budget < lines[j].Budget })
	return lines
}

// Incarnations returns a copy of the incarnations not yet released, without their sets of
// settled requests.
func (l *Ledger) Incarnations() map[string]Incarnation {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make(map[string]Incarnation, len(l.incarnations))
	for id, i := range l.incarnations {
		copied := *i
		copied.Settled = nil
		all[id] = copied
	}
	return all
}

// IsOpen reports whether an incarnation may claim and spend.
func (l *Ledger) IsOpen(incarnation string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.openIncarnation(incarnation) != nil
}

// OpenIncarnations returns the number of incarnations that may claim and spend.
func (l *Ledger) OpenIncarnations() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	n := 0
	for _, i := range l.incarnations {
		if !i.Closed {
			n++
		}
	}
	return n
}

// Known reports whether an incarnation is open, or closed and not yet released.
func (l *Ledger) Known(incarnation string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.incarnations[incarnation] != nil
}

// Incarnation returns one incarnation without its set of settled requests; false if it is
// unknown or released.
func (l *Ledger) Incarnation(incarnation string) (Incarnation, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	i := l.incarnations[incarnation]
	if i == nil {
		return Incarnation{}, false
	}
	copied := *i
	copied.Settled = nil
	return copied, true
}

// Excess returns the tokens settled beyond an incarnation's share.
func (l *Ledger) Excess() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.excess
}
