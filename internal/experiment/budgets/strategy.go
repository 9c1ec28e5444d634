package budgets

import "time"

// strategy decides how budgets are distributed over nodes and reserved.
type strategy interface {
	name() string
	topUp(m *fleetModel, budget int, tokens uint64)
	// reserve reserves a request's worst case and returns the function that settles the
	// used tokens, nil if it was refused, and the latency of the reservation.
	reserve(m *fleetModel, a arrival) (finish func(used uint64), took time.Duration)
	// tick is called once per simulated second.
	tick(m *fleetModel)
	// crash is called once when a node crashes.
	crash(m *fleetModel, node int)
	// frozen returns the number of tokens that are currently unusable because of a crash.
	frozen(m *fleetModel) uint64
	spent(budget int) uint64
	// reachable returns the number of unreserved tokens that a node could obtain now.
	reachable(m *fleetModel, node, budget int) uint64
}

// fleetModel is the state of the simulated fleet that all strategies share.
type fleetModel struct {
	Scenario
	now  time.Duration
	dead [numNodes]bool
	// appends counts the appends to the store, crossRegionBytes the bytes sent between regions.
	appends          uint64
	crossRegionBytes uint64
}

func (m *fleetModel) cut() bool {
	return m.Fault == RegionCut && m.now >= m.faultStart() && m.now < m.faultEnd()
}

// reachesLog reports whether a node can reach the store, which is in the near region.
func (m *fleetModel) reachesLog(node int) bool { return !m.dead[node] && !(m.cut() && isFar(node)) }

func (m *fleetModel) reaches(a, b int) bool {
	return !m.dead[a] && !m.dead[b] && (isFar(a) == isFar(b) || !m.cut())
}

// roundTrip counts one request and response between two nodes and returns their latency.
func (m *fleetModel) roundTrip(a, b int) time.Duration {
	if isFar(a) == isFar(b) {
		return 2 * dcDelay
	}
	m.crossRegionBytes += exchangeBytes
	return 2 * regionDelay
}

// logDelay returns the one-way latency from a node to the store.
func (m *fleetModel) logDelay(node int) time.Duration {
	if isFar(node) {
		return regionDelay
	}
	return dcDelay
}

// countAppend counts one append of a batch of entries, which every far node reads.
func (m *fleetModel) countAppend(node, entries int) {
	size := uint64(batchBytes + entries*entryBytes)
	m.appends++
	m.crossRegionBytes += farNodes * size
	if isFar(node) {
		m.crossRegionBytes += size
	}
}
