package budgets

import "time"

// centralCounter keeps every budget in one counter at the store. Each reservation and
// each settlement is a call to it; while the store is unreachable, all requests fail.
type centralCounter struct {
	available   [numBudgets]uint64
	spentTokens [numBudgets]uint64
	// lostReservations sums the reservations of crashed nodes, which are never released.
	lostReservations uint64
	reserved         [numNodes]uint64
}

func (c *centralCounter) name() string { return "central counter" }

func (c *centralCounter) topUp(_ *fleetModel, budget int, tokens uint64) {
	c.available[budget] += tokens
}

func (c *centralCounter) exchange(m *fleetModel, node int) {
	m.appends++
	if isFar(node) {
		m.crossRegionBytes += exchangeBytes
	}
}

func (c *centralCounter) reserve(m *fleetModel, a arrival) (func(uint64), time.Duration) {
	if !m.reachesLog(a.node) {
		return nil, 0
	}
	c.exchange(m, a.node)
	took := 2*m.logDelay(a.node) + appendDelay
	if c.available[a.budget] < a.reserve {
		return nil, took
	}
	c.available[a.budget] -= a.reserve
	c.reserved[a.node] += a.reserve
	return func(used uint64) {
		c.exchange(m, a.node)
		c.reserved[a.node] -= a.reserve
		c.available[a.budget] += a.reserve - used
		c.spentTokens[a.budget] += used
	}, took
}

func (c *centralCounter) tick(*fleetModel) {}

func (c *centralCounter) crash(_ *fleetModel, node int) { c.lostReservations += c.reserved[node] }

func (c *centralCounter) frozen(*fleetModel) uint64 { return c.lostReservations }

func (c *centralCounter) spent(budget int) uint64 { return c.spentTokens[budget] }

func (c *centralCounter) reachable(m *fleetModel, node, budget int) uint64 {
	if !m.reachesLog(node) {
		return 0
	}
	return c.available[budget]
}
