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

// shares is the production strategy: each node holds a share of every budget it uses,
// sized by a budget.Policy.
type shares struct {
	policy    budget.Policy
	clock     *clockwork.FakeClock
	ledger    *budget.Ledger
	holders   [numNodes]*budget.ShareHolder
	offset    uint64
	states    [numNodes]map[string]*budget.SizingState
	shortfall [numNodes]map[string]uint64
	// pendingEntries counts the entries of each node that await the next tick's append.
	pendingEntries [numNodes]int
	spentTokens    [numBudgets]uint64
	crashedAt      [numNodes]time.Duration
	topUpCount     int
}

func newShares(policy budget.Policy) *shares {
	s := &shares{policy: policy, clock: clockwork.NewFakeClockAt(time.Unix(0, 0)), ledger: budget.NewLedger()}
	for node := range numNodes {
		s.holders[node] = budget.NewShareHolder(strconv.Itoa(node), s.clock)
		s.holders[node].ExtendRight(s.clock.Now().Add(policy.SpendRight))
		s.states[node], s.shortfall[node] = map[string]*budget.SizingState{}, map[string]uint64{}
		s.fold(node, &recordv1.Entry{Body: &recordv1.Entry_Heartbeat{Heartbeat: &recordv1.NodeHeartbeat{
			Number: 1, Node: &recordv1.NodeInfo{PeerAddress: strconv.Itoa(node)},
		}}})
	}
	return s
}

func (s *shares) name() string { return s.policy.Name }

func budgetName(b int) string { return strconv.Itoa(b) }

func (s *shares) fold(node int, entry *recordv1.Entry) fold.Verdict {
	s.offset++
	s.pendingEntries[node]++
	verdict, _ := s.ledger.Apply(fold.Position{Offset: s.offset, Writer: strconv.Itoa(node)}, entry)
	return verdict
}

func (s *shares) topUp(_ *fleetModel, b int, tokens uint64) {
	s.topUpCount++
	s.fold(0, &recordv1.Entry{Body: &recordv1.Entry_TopUp{TopUp: &recordv1.TopUpEntry{
		TopUp: &operatorv1.TopUp{Id: fmt.Sprint(s.topUpCount), Budget: budgetName(b), Tokens: tokens},
	}}})
}

func (s *shares) claim(node int, name string, tokens uint64) bool {
	verdict := s.fold(node, &recordv1.Entry{Body: &recordv1.Entry_ShareClaim{ShareClaim: &recordv1.ShareClaim{Budget: name, Tokens: tokens}}})
	s.holders[node].Credit(name, verdict.Tokens)
	return verdict.OK()
}

// reserve follows budget.Reserver: own share first, then the pool, then parts at peers.
func (s *shares) reserve(m *fleetModel, a arrival) (func(uint64), time.Duration) {
	name, own := budgetName(a.budget), s.holders[a.node]
	took := m.roundTrip(a.node, witnessFor(a.node))
	if r, err := own.Reserve(name, a.reserve); err == nil {
		return s.finisher(a, []*budget.Reservation{r}), took
	}
	if own.RightRemaining() <= 0 {
		return nil, 0
	}
	s.shortfall[a.node][name] += a.reserve
	if pool := s.ledger.Budget(name).Pool; m.reachesLog(a.node) && pool > 0 {
		took += gatherDelay + 2*m.logDelay(a.node) + appendDelay
		s.claim(a.node, name, max(a.reserve, min(claimChunk, pool/2)))
		if r, err := own.Reserve(name, a.reserve); err == nil {
			return s.finisher(a, []*budget.Reservation{r}), took
		}
	}
	return s.borrow(m, a, took)
}

// witnessFor returns the node that records the given node's requests: its neighbour
// within the region.
func witnessFor(node int) int {
	if isFar(node) {
		return nearNodes + (node-nearNodes+1)%farNodes
	}
	return (node + 1) % nearNodes
}

func (s *shares) borrow(m *fleetModel, a arrival, took time.Duration) (func(uint64), time.Duration) {
	var parts []*budget.Reservation
	reserved := uint64(0)
	for _, lender := range s.lenders(m, a) {
		if lender != a.node {
			took += m.roundTrip(a.node, lender)
		}
		part, err := s.holders[lender].ReserveUpTo(budgetName(a.budget), a.reserve-reserved)
		if err != nil {
			continue
		}
		parts = append(parts, part)
		if reserved += part.Tokens; reserved == a.reserve {
			return s.finisher(a, parts), took
		}
	}
	for _, part := range parts {
		part.Cancel()
	}
	return nil, took
}

// lenders lists the reachable nodes that hold a share according to the ledger: the node
// itself first, then its own region, then by largest share.
func (s *shares) lenders(m *fleetModel, a arrival) []int {
	line := s.ledger.Budget(budgetName(a.budget))
	left := func(node int) uint64 {
		if share := line.Shares[strconv.Itoa(node)]; share != nil {
			return share.Remaining()
		}
		return 0
	}
	var lenders []int
	for node := range numNodes {
		if m.reaches(a.node, node) && left(node) > 0 {
			lenders = append(lenders, node)
		}
	}
	sort.SliceStable(lenders, func(i, j int) bool {
		x, y := lenders[i], lenders[j]
		switch {
		case (x == a.node) != (y == a.node):
			return x == a.node
		case isFar(x) != isFar(y):
			return isFar(x) == isFar(a.node)
		}
		return left(x) > left(y)
	})
	return lenders
}

func (s *shares) finisher(a arrival, parts []*budget.Reservation) func(uint64) {
	return func(used uint64) {
		s.spentTokens[a.budget] += used
		for _, part := range parts {
			charge := min(used, part.Tokens)
			part.Finish(charge)
			used -= charge
		}
	}
}

func (s *shares) tick(m *fleetModel) {
	s.clock.Advance(m.now - s.clock.Now().Sub(time.Unix(0, 0)))
	lines := map[string]budget.Line{}
	for _, line := range s.ledger.Budgets() {
		lines[line.Budget] = line
	}
	for node := range numNodes {
		if !m.reachesLog(node) {
			continue
		}
		s.holders[node].ExtendRight(s.clock.Now().Add(s.policy.SpendRight))
		for batch := s.holders[node].TakeSettlements(); batch != nil; batch = s.holders[node].TakeSettlements() {
			s.pendingEntries[node] += len(batch.GetSettlements()) - 1
			s.fold(node, &recordv1.Entry{Body: &recordv1.Entry_Settlements{Settlements: batch}})
		}
		s.resize(m, node, lines)
		if m.now%heartbeatInterval < time.Second {
			s.pendingEntries[node]++
		}
		if s.pendingEntries[node] > 0 {
			countFlushes(m, node, s.pendingEntries[node])
			s.pendingEntries[node] = 0
		}
	}
	s.recoverCrashed(m)
}

// resize adjusts a node's shares, based on the ledger as of the beginning of the tick.
func (s *shares) resize(m *fleetModel, node int, lines map[string]budget.Line) {
	for _, name := range sortNames(s.holders[node].Budgets()) {
		state := s.states[node][name]
		if state == nil {
			state = &budget.SizingState{}
			s.states[node][name] = state
		}
		line := lines[name]
		action := budget.SizeShare(s.policy, state, budget.SizingInput{
			Budget: name, Available: s.holders[node].Available(name), Used: s.holders[node].Used(name),
			Shortfall: s.shortfall[node][name], Pool: line.Pool, Remaining: line.Remaining(), Nodes: numNodes,
		}, s.clock.Now())
		delete(s.shortfall[node], name)
		s.apply(m, node, action)
	}
}

func sortNames(names []string) []string {
	sort.Strings(names)
	return names
}

func (s *shares) apply(m *fleetModel, node int, action budget.SizingAction) {
	switch {
	case action.Claim > 0:
		s.claim(node, action.Budget, action.Claim)
	case action.Return > 0:
		taken := s.holders[node].Debit(action.Budget, action.Return)
		s.fold(node, &recordv1.Entry{Body: &recordv1.Entry_ShareReturn{ShareReturn: &recordv1.ShareReturn{Budget: action.Budget, Tokens: taken}}})
	case action.Ask > 0:
		s.askPeer(m, node, action)
	}
}

// askPeer makes the reachable node with the largest available share move up to half of
// it to the asking node.
func (s *shares) askPeer(m *fleetModel, node int, action budget.SizingAction) {
	best := -1
	for other := range numNodes {
		if other == node || !m.reaches(node, other) || !m.reachesLog(other) {
			continue
		}
		if best < 0 || s.holders[other].Available(action.Budget) > s.holders[best].Available(action.Budget) {
			best = other
		}
	}
	if best < 0 {
		return
	}
	m.roundTrip(node, best)
	tokens := s.holders[best].Debit(action.Budget, min(action.Ask, s.holders[best].Available(action.Budget)/2))
	if tokens == 0 {
		return
	}
	s.fold(best, &recordv1.Entry{Body: &recordv1.Entry_ShareMove{ShareMove: &recordv1.ShareMove{
		Budget: action.Budget, To: strconv.Itoa(node), Tokens: tokens,
	}}})
	s.holders[node].Credit(action.Budget, tokens)
}

func (s *shares) crash(m *fleetModel, node int) { s.crashedAt[node] = m.now }

// recoverCrashed closes a crashed node once its spend right plus a 5% margin has passed,
// and returns its shares to the pool.
func (s *shares) recoverCrashed(m *fleetModel) {
	for node := range numNodes {
		id := strconv.Itoa(node)
		term := s.policy.SpendRight + s.policy.SpendRight/20
		if !m.dead[node] || !s.ledger.IsOpen(id) || m.now < s.crashedAt[node]+term {
			continue
		}
		s.fold(witnessFor(node), &recordv1.Entry{Body: &recordv1.Entry_Close{Close: &recordv1.IncarnationClose{Incarnation: id, LastHeartbeat: 1}}})
		if batch := s.holders[node].TakeSettlements(); batch != nil {
			s.fold(witnessFor(node), &recordv1.Entry{Body: &recordv1.Entry_Settlements{Settlements: batch}})
		}
		s.fold(witnessFor(node), &recordv1.Entry{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{Incarnation: id}}})
	}
}

func (s *shares) frozen(m *fleetModel) uint64 {
	total := uint64(0)
	for node := range numNodes {
		if !m.dead[node] {
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

func (s *shares) spent(b int) uint64 { return s.spentTokens[b] }

func (s *shares) reachable(m *fleetModel, node, b int) uint64 {
	total := uint64(0)
	if m.reachesLog(node) {
		total = s.ledger.Budget(budgetName(b)).Pool
	}
	for other := range numNodes {
		if m.reaches(node, other) {
			total += s.holders[other].Available(budgetName(b))
		}
	}
	return total
}
