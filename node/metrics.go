package node

import "expvar"

// metric is one entry of a node's expvar map.
type metric struct {
	name string
	// description is the text in docs/METRICS.md, including the unit.
	description string
	value       func(*Node) any
}

// metrics lists all entries of a node's expvar map.
var metrics = []metric{
	{"incarnation", "name of this run of the node", func(n *Node) any { return n.Incarnation() }},
	{"state", "starting, serving, draining, stopped, or closed by the fleet", func(n *Node) any { return n.State() }},
	{"config_offset", "log offset up to which this node has applied the configuration; nodes that stay below others for seconds lag", func(n *Node) any { return n.AppliedOffset() }},
	{"requests_in_flight", "requests that run on this node now", func(n *Node) any { return n.requests.InFlight() }},
	{"admission", "per service: admitted, refused (of which expired and evicted), limit, in flight, waiting, standing queue; see operators/overload.md", func(n *Node) any { return n.admission.Status() }},
	{"cache_event_gaps", "gaps in the cache events that engines reported; some are normal", func(n *Node) any { return n.balancer.EventGaps() }},
	{"log_appends", "attempted appends; the number grows with time, not with requests", func(n *Node) any { return n.writer.Appends() }},
	{"log_appends_gathered", "appends that this node made for several nodes of the data centre", func(n *Node) any { return n.gatherer.Appends() }},
	{"batches_handed_on", "batches that the data centre's gatherer appended for this node", func(n *Node) any { return n.appender.Forwarded() }},
	{"gatherer_failures", "times the gatherer didn't respond and this node appended its batch itself", func(n *Node) any { return n.appender.Fallbacks() }},
	{"spend_right_left_ms", "milliseconds for which the node may still spend without reaching the log; a decrease over minutes means that the log is unreachable", func(n *Node) any { return n.holder.RightRemaining().Milliseconds() }},
	{"open_reservations", "reservations of running requests, of this node's callers and of its peers", func(n *Node) any { return n.holder.OpenReservations() }},
	{"unsettled", "settlements that aren't in the log yet; it grows during an outage, and at 500,000 the node refuses requests with SettlementBacklog", func(n *Node) any { return n.holder.PendingSettlements() }},
	{"witnessed_for_others", "requests of other nodes stored here in case those nodes die", func(n *Node) any { return n.budgets.witnessStore.Len() }},
	{"parts_borrowed", "parts of requests that other nodes keep reserved for this one", func(n *Node) any { return n.budgets.borrower.UnsettledParts() }},
	{"excess_tokens", "tokens by which settlements exceeded their shares, over all budgets; any value but 0 is a bug, please report it", func(n *Node) any { return n.ledger.Excess() }},
	{"members", "other nodes whose addresses this one would return to callers", func(n *Node) any { return n.usableMembers() }},
	{"quarantine", "crashes of upstreams under this node's requests and those that other nodes told of, how many requests with crashes are counted now, how many parts of prompts are suspected and blocked, and the sends of requests with crashes that other nodes were asked about: sent, refused, denied as others sent it, and their wait in milliseconds in all", func(n *Node) any { return n.quarantine.Counts() }},
	{"upstream_paths", "how upstreams in use are reached: directly, through another node, or not at all", func(n *Node) any { return n.pathSummary() }},
	{"path_changes", "paths lost, failed and restored, connections relayed by others and for others, tests of paths", func(n *Node) any { return n.pathCounters() }},
	{"queue_delay_ms", "milliseconds that a request waits at this node in queues that it doesn't see: on the link to other nodes and back, and for the processor; it is taken off callers' timeouts, and from half of a timeout on a part of the requests is refused", func(n *Node) any { return n.requests.Delay().Milliseconds() }},
	{"events", "per event name: events recorded since the start; see EVENTS.md", func(n *Node) any { return n.events.Counts() }},
	{"events_dropped", "events that the ring buffer no longer holds", func(n *Node) any { return n.events.Dropped() }},
}

// newMetrics returns the node's expvar map; values are computed when they are read.
func (n *Node) newMetrics() *expvar.Map {
	m := new(expvar.Map).Init()
	for _, entry := range metrics {
		m.Set(entry.name, expvar.Func(func() any { return entry.value(n) }))
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
