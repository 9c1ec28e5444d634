package budgets

import "time"

// staticSplit divides each top-up equally among the nodes and never rebalances. Its
// settlements are appended at the same intervals as in shares.
type staticSplit struct {
	available          [numNodes][numBudgets]uint64
	spentTokens        [numBudgets]uint64
	pendingSettlements [numNodes]int
}

func (s *staticSplit) name() string { return "static equal split" }

func (s *staticSplit) topUp(_ *fleetModel, budget int, tokens uint64) {
	for node := range numNodes {
		s.available[node][budget] += tokens / numNodes
	}
}

func (s *staticSplit) reserve(_ *fleetModel, a arrival) (func(uint64), time.Duration) {
	balance := &s.available[a.node][a.budget]
	if *balance < a.reserve {
		return nil, 0
	}
	*balance -= a.reserve
	return func(used uint64) {
		*balance += a.reserve - used
		s.spentTokens[a.budget] += used
		s.pendingSettlements[a.node]++
	}, 0
}

func (s *staticSplit) tick(m *fleetModel) {
	for node := range numNodes {
		if m.reachesLog(node) && s.pendingSettlements[node] > 0 {
			countFlushes(m, node, s.pendingSettlements[node])
			s.pendingSettlements[node] = 0
		}
	}
}

// countFlushes counts a node's appends in one second, at most one per flushInterval.
func countFlushes(m *fleetModel, node, entries int) {
	n := min(entries, int(time.Second/flushInterval))
	for range n {
		m.countAppend(node, entries/n)
	}
}

func (s *staticSplit) crash(*fleetModel, int) {}

func (s *staticSplit) frozen(m *fleetModel) uint64 {
	total := uint64(0)
	for node := range numNodes {
		for _, tokens := range s.available[node] {
			if m.dead[node] {
				total += tokens
			}
		}
	}
	return total
}

func (s *staticSplit) spent(budget int) uint64 { return s.spentTokens[budget] }

func (s *staticSplit) reachable(m *fleetModel, node, budget int) uint64 {
	total := uint64(0)
	for other := range numNodes {
		if m.reaches(node, other) {
			total += s.available[other][budget]
		}
	}
	return total
}
