package budgets

import "time"

// strategy is one way of holding budgets.
type strategy interface {
	name() string
	topUp(w *world, budget int, tokens uint64)
	// reserve returns the tokens covered and the time it took; nil when refused.
	reserve(w *world, a arrival) (finish func(used uint64), took time.Duration)
	// second is called once per second of model time.
	second(w *world)
	// crash is told that a node is gone.
	crash(w *world, node int)
	// frozen returns tokens that nobody can use now because of a crash.
	frozen(w *world) uint64
	spent(budget int) uint64
	// reachable returns the unreserved tokens that a node could get hold of now.
	reachable(w *world, node, budget int) uint64
}

// world is what all strategies see of the modelled fleet.
type world struct {
	Scenario
	now  time.Duration
	dead [nodes]bool
	// appends and crossing count what the store takes and what crosses between regions.
	appends  uint64
	crossing uint64
}

func (w *world) cut() bool {
	return w.Fault == RegionCut && w.now >= w.faultStart() && w.now < w.faultEnd()
}

// reachesLog tells whether a node reaches the store, which stands in the near region.
func (w *world) reachesLog(node int) bool { return !w.dead[node] && !(w.cut() && far(node)) }

func (w *world) reaches(a, b int) bool {
	return !w.dead[a] && !w.dead[b] && (far(a) == far(b) || !w.cut())
}

// ask counts one exchange between nodes and returns how long it takes.
func (w *world) ask(a, b int) time.Duration {
	if far(a) == far(b) {
		return 2 * dcDelay
	}
	w.crossing += askBytes
	return 2 * regionDelay
}

// toLog is the one-way delay to the store.
func (w *world) toLog(node int) time.Duration {
	if far(node) {
		return regionDelay
	}
	return dcDelay
}

// append counts one append of some entries, which each far node reads.
func (w *world) append(node, entries int) {
	size := uint64(batchBytes + entries*entryBytes)
	w.appends++
	w.crossing += farNodes * size
	if far(node) {
		w.crossing += size
	}
}
