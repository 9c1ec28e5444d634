package budgets

import "time"

// centralCounter asks one counter at the store for each reservation and tells it of
// each end. Without the store nothing is served.
type centralCounter struct {
	available [budgets]uint64
	total     [budgets]uint64
	// lost holds reservations of crashed nodes, which nobody gives back.
	lost uint64
	open [nodes]uint64
}

func (c *centralCounter) name() string { return "central counter" }

func (c *centralCounter) topUp(_ *world, budget int, tokens uint64) { c.available[budget] += tokens }

func (c *centralCounter) exchange(w *world, node int) {
	w.appends++
	if far(node) {
		w.crossing += askBytes
	}
}

func (c *centralCounter) reserve(w *world, a arrival) (func(uint64), time.Duration) {
	if !w.reachesLog(a.node) {
		return nil, 0
	}
	c.exchange(w, a.node)
	took := 2*w.toLog(a.node) + appendDelay
	if c.available[a.budget] < a.reserve {
		return nil, took
	}
	c.available[a.budget] -= a.reserve
	c.open[a.node] += a.reserve
	return func(used uint64) {
		c.exchange(w, a.node)
		c.open[a.node] -= a.reserve
		c.available[a.budget] += a.reserve - used
		c.total[a.budget] += used
	}, took
}

func (c *centralCounter) second(*world) {}

func (c *centralCounter) crash(_ *world, node int) { c.lost += c.open[node] }

func (c *centralCounter) frozen(*world) uint64 { return c.lost }

func (c *centralCounter) spent(budget int) uint64 { return c.total[budget] }

func (c *centralCounter) reachable(w *world, node, budget int) uint64 {
	if !w.reachesLog(node) {
		return 0
	}
	return c.available[budget]
}
