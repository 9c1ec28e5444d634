package node

import "expvar"

// figure is one entry of a node's expvar map.
type figure struct {
	name string
	// meaning is what docs/METRICS.md says of it, with its unit.
	meaning string
	read    func(*Node) any
}

// figures lists all entries of a node's expvar map.
var figures = []figure{
	{"incarnation", "name of this run of the node", func(n *Node) any { return n.Incarnation() }},
	{"state", "starting, serving, draining, stopped, or closed by the fleet", func(n *Node) any { return n.State() }},
	{"config_offset", "offset of the log up to which the configuration is in force here; nodes that differ for seconds are behind", func(n *Node) any { return n.AppliedOffset() }},
	{"requests_in_flight", "requests that run on this node now", func(n *Node) any { return n.requests.InFlight() }},
	{"admission", "by service: admitted, refused (of these expired and evicted), limit, in flight, waiting, standing queue; see operators/overload.md", func(n *Node) any { return n.admission.Status() }},
	{"cache_event_gaps", "gaps in what engines told of their caches; some are normal", func(n *Node) any { return n.balancer.EventGaps() }},
	{"log_appends", "appends tried; they grow with time, not with requests", func(n *Node) any { return n.writer.Appends() }},
	{"log_appends_gathered", "appends made here for several nodes of the data centre", func(n *Node) any { return n.gatherer.Appends() }},
	{"batches_handed_on", "batches that the data centre's gatherer appended for this node", func(n *Node) any { return n.appender.Forwarded() }},
	{"gatherer_failures", "times that the gatherer didn't answer and this node appended for itself", func(n *Node) any { return n.appender.Fallbacks() }},
	{"spend_right_left_ms", "milliseconds that the node may still spend without reaching the log; falling for minutes means that the log is out of reach", func(n *Node) any { return n.holder.RightRemaining().Milliseconds() }},
	{"open_reservations", "reservations of requests that run, of this node's callers and of its peers", func(n *Node) any { return n.holder.OpenReservations() }},
	{"unsettled", "settlements that aren't in the log yet; it grows in an outage, and at 500,000 the node refuses with SettlementBacklog", func(n *Node) any { return n.holder.PendingSettlements() }},
	{"witnessed_for_others", "requests of other nodes remembered here in case those die", func(n *Node) any { return n.budgets.memory.Len() }},
	{"parts_borrowed", "parts of requests that other nodes hold reserved for this one", func(n *Node) any { return n.budgets.borrower.UnsettledParts() }},
	{"excess_tokens", "tokens that settlements came to beyond their shares, in all budgets; anything but 0 is a defect, please report it", func(n *Node) any { return n.ledger.Excess() }},
	{"members", "other nodes that this one would hand out to callers", func(n *Node) any { return n.usableMembers() }},
	{"events", "by name: events recorded since the start; see EVENTS.md", func(n *Node) any { return n.events.Counts() }},
	{"events_dropped", "events that the ring no longer holds", func(n *Node) any { return n.events.Dropped() }},
}

// newMetrics returns the node's map of figures, read when asked.
func (n *Node) newMetrics() *expvar.Map {
	m := new(expvar.Map).Init()
	for _, f := range figures {
		m.Set(f.name, expvar.Func(func() any { return f.read(n) }))
	}
	return m
}

func (n *Node) usableMembers() int {
	usable := 0
	for _, member := range n.members.All() {
		if member.Usable() {
			usable++
		}
	}
	return usable
}
