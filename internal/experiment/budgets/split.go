package budgets

import "time"

// staticSplit divides each top-up equally over the nodes; nothing moves afterwards.
// Its settlements are appended as the fleet's own are.
type staticSplit struct {
	available [nodes][budgets]uint64
	total     [budgets]uint64
	pending   [nodes]int
}

func (s *staticSplit) name() string { return "static equal split" }

func (s *staticSplit) topUp(_ *world, budget int, tokens uint64) {
	for node := range nodes {
		s.available[node][budget] += tokens / nodes
	}
}

func (s *staticSplit) reserve(_ *world, a arrival) (func(uint64), time.Duration) {
	held := &s.available[a.node][a.budget]
	if *held < a.reserve {
		return nil, 0
	}
	*held -= a.reserve
	return func(used uint64) {
		*held += a.reserve - used
		s.total[a.budget] += used
		s.pending[a.node]++
	}, 0
}

func (s *staticSplit) second(w *world) {
	for node := range nodes {
		if w.reachesLog(node) && s.pending[node] > 0 {
			appendFlushes(w, node, s.pending[node])
			s.pending[node] = 0
		}
	}
}

// appendFlushes counts a second's appends of a node: at most one per flush.
func appendFlushes(w *world, node, entries int) {
	n := min(entries, int(time.Second/flush))
	for range n {
		w.append(node, entries/n)
	}
}

func (s *staticSplit) crash(*world, int) {}

func (s *staticSplit) frozen(w *world) uint64 {
	total := uint64(0)
	for node := range nodes {
		for _, tokens := range s.available[node] {
			if w.dead[node] {
				total += tokens
			}
		}
	}
	return total
}

func (s *staticSplit) spent(budget int) uint64 { return s.total[budget] }

func (s *staticSplit) reachable(w *world, node, budget int) uint64 {
	total := uint64(0)
	for other := range nodes {
		if w.reaches(node, other) {
			total += s.available[other][budget]
		}
	}
	return total
}
