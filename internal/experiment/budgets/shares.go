package budgets

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/fold"
)

// shares is the fleet's own way, under one policy.
type shares struct {
	policy  budget.Policy
	clock   *clockwork.FakeClock
	ledger  *budget.Ledger
	holders [nodes]*budget.ShareHolder
	offset  uint64
	states  [nodes]map[string]*budget.SizingState
	lacked  [nodes]map[string]uint64
	// queued counts entries of a node that no second has appended yet.
	queued   [nodes]int
	total    [budgets]uint64
	closedAt [nodes]time.Duration
	topUps   int
}

func newShares(policy budget.Policy) *shares {
	s := &shares{policy: policy, clock: clockwork.NewFakeClockAt(time.Unix(0, 0)), ledger: budget.NewLedger()}
	for node := range nodes {
		s.holders[node] = budget.NewShareHolder(strconv.Itoa(node), s.clock)
		s.holders[node].ExtendRight(s.clock.Now().Add(policy.SpendRight))
		s.states[node], s.lacked[node] = map[string]*budget.SizingState{}, map[string]uint64{}
		s.fold(node, &recordv1.Entry{Body: &recordv1.Entry_Heartbeat{Heartbeat: &recordv1.NodeHeartbeat{
			Number: 1, Node: &recordv1.NodeInfo{PeerAddress: strconv.Itoa(node)},
		}}})
	}
	return s
}

func (s *shares) name() string { return s.policy.Name }

func nameOf(b int) string { return strconv.Itoa(b) }

func (s *shares) fold(node int, entry *recordv1.Entry) fold.Verdict {
	s.offset++
	s.queued[node]++
	verdict, _ := s.ledger.Apply(fold.Position{Offset: s.offset, Writer: strconv.Itoa(node)}, entry)
	return verdict
}

func (s *shares) topUp(_ *world, b int, tokens uint64) {
	s.topUps++
	s.fold(0, &recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{
		TopUp: &operatorv1.TopUp{Id: fmt.Sprint(s.topUps), Budget: nameOf(b), Tokens: tokens},
	}}})
}

func (s *shares) claim(node int, name string, tokens uint64) bool {
	verdict := s.fold(node, &recordv1.Entry{Body: &recordv1.Entry_ShareClaim{ShareClaim: &recordv1.ShareClaim{Budget: name, Tokens: tokens}}})
	s.holders[node].Credit(name, verdict.Tokens)
	return verdict.OK()
}

// reserve goes the way of budget.Reserver: own share, pool, parts at peers.
func (s *shares) reserve(w *world, a arrival) (func(uint64), time.Duration) {
	name, own := nameOf(a.budget), s.holders[a.node]
	took := w.ask(a.node, witnessOf(a.node))
	if r, err := own.Reserve(name, a.reserve); err == nil {
		return s.finisher(a, []*budget.Reservation{r}), took
	}
	if own.RightRemaining() <= 0 {
		return nil, 0
	}
	s.lacked[a.node][name] += a.reserve
	if pool := s.ledger.Budget(name).Pool; w.reachesLog(a.node) && pool > 0 {
		took += gather + 2*w.toLog(a.node) + appendDelay
		s.claim(a.node, name, max(a.reserve, min(chunk, pool/2)))
		if r, err := own.Reserve(name, a.reserve); err == nil {
			return s.finisher(a, []*budget.Reservation{r}), took
		}
	}
	return s.borrow(w, a, took)
}

// witnessOf is the node that another one tells of its requests: its neighbour.
func witnessOf(node int) int {
	if far(node) {
		return nearNodes + (node-nearNodes+1)%farNodes
	}
	return (node + 1) % nearNodes
}

func (s *shares) borrow(w *world, a arrival, took time.Duration) (func(uint64), time.Duration) {
	var parts []*budget.Reservation
	found := uint64(0)
	for _, lender := range s.lenders(w, a) {
		if lender != a.node {
			took += w.ask(a.node, lender)
		}
		part, err := s.holders[lender].ReserveUpTo(nameOf(a.budget), a.reserve-found)
		if err != nil {
			continue
		}
		parts = append(parts, part)
		if found += part.Tokens; found == a.reserve {
			return s.finisher(a, parts), took
		}
	}
	for _, part := range parts {
		part.Cancel()
	}
	return nil, took
}

// lenders lists the nodes that the log shows to hold a part: the own one first, then
// the own region, then the largest share.
func (s *shares) lenders(w *world, a arrival) []int {
	line := s.ledger.Budget(nameOf(a.budget))
	left := func(node int) uint64 {
		if share := line.Shares[strconv.Itoa(node)]; share != nil {
			return share.Remaining()
		}
		return 0
	}
	var lenders []int
	for node := range nodes {
		if w.reaches(a.node, node) && left(node) > 0 {
			lenders = append(lenders, node)
		}
	}
	sort.SliceStable(lenders, func(i, j int) bool {
		x, y := lenders[i], lenders[j]
		switch {
		case (x == a.node) != (y == a.node):
			return x == a.node
		case far(x) != far(y):
			return far(x) == far(a.node)
		}
		return left(x) > left(y)
	})
	return lenders
}

func (s *shares) finisher(a arrival, parts []*budget.Reservation) func(uint64) {
	return func(used uint64) {
		s.total[a.budget] += used
		for _, part := range parts {
			pays := min(used, part.Tokens)
			part.Finish(pays)
			used -= pays
		}
	}
}

func (s *shares) second(w *world) {
	s.clock.Advance(w.now - s.clock.Now().Sub(time.Unix(0, 0)))
	lines := map[string]budget.Line{}
	for _, line := range s.ledger.Budgets() {
		lines[line.Budget] = line
	}
	for node := range nodes {
		if !w.reachesLog(node) {
			continue
		}
		s.holders[node].ExtendRight(s.clock.Now().Add(s.policy.SpendRight))
		for batch := s.holders[node].TakeSettlements(); batch != nil; batch = s.holders[node].TakeSettlements() {
			s.queued[node] += len(batch.GetSettlements()) - 1
			s.fold(node, &recordv1.Entry{Body: &recordv1.Entry_Settlements{Settlements: batch}})
		}
		s.size(w, node, lines)
		if w.now%beat < time.Second {
			s.queued[node]++
		}
		if s.queued[node] > 0 {
			appendFlushes(w, node, s.queued[node])
			s.queued[node] = 0
		}
	}
	s.release(w)
}

// size looks at the budgets as they were folded at the beginning of the second.
func (s *shares) size(w *world, node int, lines map[string]budget.Line) {
	for _, name := range sorted(s.holders[node].Budgets()) {
		state := s.states[node][name]
		if state == nil {
			state = &budget.SizingState{}
			s.states[node][name] = state
		}
		line := lines[name]
		action := budget.SizeShare(s.policy, state, budget.SizingInput{
			Budget: name, Available: s.holders[node].Available(name), Used: s.holders[node].Used(name),
			Shortfall: s.lacked[node][name], Pool: line.Pool, Remaining: line.Remaining(), Nodes: nodes,
		}, s.clock.Now())
		delete(s.lacked[node], name)
		s.act(w, node, action)
	}
}

func sorted(names []string) []string {
	sort.Strings(names)
	return names
}

func (s *shares) act(w *world, node int, action budget.SizingAction) {
	switch {
	case action.Claim > 0:
		s.claim(node, action.Budget, action.Claim)
	case action.Return > 0:
		taken := s.holders[node].Debit(action.Budget, action.Return)
		s.fold(node, &recordv1.Entry{Body: &recordv1.Entry_ShareReturn{ShareReturn: &recordv1.ShareReturn{Budget: action.Budget, Tokens: taken}}})
	case action.Ask > 0:
		s.ask(w, node, action)
	}
}

// ask lets the reachable node that holds most move up to half of it.
func (s *shares) ask(w *world, node int, action budget.SizingAction) {
	best := -1
	for other := range nodes {
		if other == node || !w.reaches(node, other) || !w.reachesLog(other) {
			continue
		}
		if best < 0 || s.holders[other].Available(action.Budget) > s.holders[best].Available(action.Budget) {
			best = other
		}
	}
	if best < 0 {
		return
	}
	w.ask(node, best)
	tokens := s.holders[best].Debit(action.Budget, min(action.Ask, s.holders[best].Available(action.Budget)/2))
	if tokens == 0 {
		return
	}
	s.fold(best, &recordv1.Entry{Body: &recordv1.Entry_ShareMove{ShareMove: &recordv1.ShareMove{
		Budget: action.Budget, To: strconv.Itoa(node), Tokens: tokens,
	}}})
	s.holders[node].Credit(action.Budget, tokens)
}

func (s *shares) crash(w *world, node int) { s.closedAt[node] = w.now }

// release closes a dead node after its term and the margin, and gives its shares back.
func (s *shares) release(w *world) {
	for node := range nodes {
		id := strconv.Itoa(node)
		term := s.policy.SpendRight + s.policy.SpendRight/20
		if !w.dead[node] || !s.ledger.IsOpen(id) || w.now < s.closedAt[node]+term {
			continue
		}
		s.fold(witnessOf(node), &recordv1.Entry{Body: &recordv1.Entry_Close{Close: &recordv1.IncarnationClose{Incarnation: id, LastHeartbeat: 1}}})
		if batch := s.holders[node].TakeSettlements(); batch != nil {
			s.fold(witnessOf(node), &recordv1.Entry{Body: &recordv1.Entry_Settlements{Settlements: batch}})
		}
		s.fold(witnessOf(node), &recordv1.Entry{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{Incarnation: id}}})
	}
}

func (s *shares) frozen(w *world) uint64 {
	total := uint64(0)
	for node := range nodes {
		if !w.dead[node] {
			continue
		}
		for _, line := range s.ledger.Budgets() {
			if share := line.Shares[strconv.Itoa(node)]; share != nil {
				total += share.Remaining()
			}
		}
	}
	return total
}

func (s *shares) spent(b int) uint64 { return s.total[b] }

func (s *shares) reachable(w *world, node, b int) uint64 {
	total := uint64(0)
	if w.reachesLog(node) {
		total = s.ledger.Budget(nameOf(b)).Pool
	}
	for other := range nodes {
		if w.reaches(node, other) {
			total += s.holders[other].Available(nameOf(b))
		}
	}
	return total
}
