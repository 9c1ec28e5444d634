package budget

import (
	"sort"
	"sync"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/result"
)

// Ledger folds prepaid budgets, shares, incarnations and settlements. One
// goroutine applies; the reading methods are safe for concurrent use.
type Ledger struct {
	mu           sync.RWMutex
	lines        map[string]*Line
	incarnations map[string]*Incarnation
	topUps       map[string]foldedTopUp
	// excess counts tokens settled beyond an incarnation's share. It is 0 unless
	// a node spent what it didn't own; the checkers assert that.
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
		return l.claim(at, body.ShareClaim), true
	case *recordv1.Entry_ShareReturn:
		return l.giveBack(at, body.ShareReturn), true
	case *recordv1.Entry_ShareMove:
		return l.move(at, body.ShareMove), true
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

// open returns the writer's incarnation when it may act, else nil.
func (l *Ledger) open(incarnation string) *Incarnation {
	i := l.incarnations[incarnation]
	if i == nil || i.Closed {
		return nil
	}
	return i
}

func (l *Ledger) heartbeat(at fold.Position, beat *recordv1.NodeHeartbeat) fold.Verdict {
	held := l.incarnations[at.Writer]
	switch {
	case held == nil && beat.GetNumber() == 1:
		l.closePredecessor(at, beat.GetNode())
		held = &Incarnation{Opened: at.Offset, Settled: map[uint64]bool{}}
		l.incarnations[at.Writer] = held
	case held == nil || held.Closed:
		return fold.Refuse(at, result.IncarnationClosed, "the incarnation is closed")
	}
	held.Node = beat.GetNode()
	held.Heartbeat = beat.GetNumber()
	held.RightMS = beat.GetRightMs()
	held.Draining = beat.GetDraining()
	return fold.Accept(at)
}

// closePredecessor closes an open incarnation at the address that a new one
// announces. Only one process can hold the address, so the old one is gone; were
// it left open, its shares would stay frozen until its right to spend ran out.
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
	i := l.open(entry.GetIncarnation())
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

func (l *Ledger) claim(at fold.Position, entry *recordv1.ShareClaim) fold.Verdict {
	if l.open(at.Writer) == nil {
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

func (l *Ledger) giveBack(at fold.Position, entry *recordv1.ShareReturn) fold.Verdict {
	if l.open(at.Writer) == nil {
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

// move needs both ends open. Were it allowed towards a closed incarnation, the
// tokens would be released with that incarnation and spent by nobody's leave.
func (l *Ledger) move(at fold.Position, entry *recordv1.ShareMove) fold.Verdict {
	if l.open(at.Writer) == nil || l.open(entry.GetTo()) == nil {
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

// recoveryDone ends a closed incarnation. What is left of its shares goes back to
// the pool or, when nobody could tell what it spent, is written off. The
// incarnation itself may end its own, once it has settled everything.
func (l *Ledger) recoveryDone(at fold.Position, entry *recordv1.RecoveryDone) fold.Verdict {
	own := at.Writer == entry.GetIncarnation()
	i := l.incarnations[entry.GetIncarnation()]
	if i == nil || !i.Closed || (!own && l.open(at.Writer) == nil) {
		return fold.Refuse(at, result.IncarnationClosed, "nothing to recover")
	}
	if entry.GetLost() {
		return fold.Verdict{Offset: at.Offset, Tokens: l.end(entry.GetIncarnation(), (*Line).writeOff)}
	}
	return fold.Verdict{Offset: at.Offset, Tokens: l.release(entry.GetIncarnation())}
}

func (l *Ledger) release(incarnation string) uint64 {
	return l.end(incarnation, (*Line).release)
}

// end forgets an incarnation and disposes of what is left of its shares.
func (l *Ledger) end(incarnation string, dispose func(*Line, uint64)) uint64 {
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

// Budget returns a copy of one budget's state; zero for an unknown budget.
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

// Incarnations returns a copy of the incarnations that aren't released yet, without
// their lists of settled requests.
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

// IsOpen tells whether an incarnation may claim and spend.
func (l *Ledger) IsOpen(incarnation string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.open(incarnation) != nil
}

// OpenIncarnations returns how many incarnations may claim and spend.
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

// Known tells whether an incarnation is open, or closed and not yet released.
func (l *Ledger) Known(incarnation string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.incarnations[incarnation] != nil
}

// Incarnation returns one incarnation without its list of settled requests; false
// when it isn't known or is released.
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
