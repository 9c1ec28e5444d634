package node

import "expvar"

// newMetrics returns the node's map of figures, read when asked.
func (n *Node) newMetrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("incarnation", expvar.Func(func() any { return n.Incarnation() }))
	m.Set("state", expvar.Func(func() any { return n.State() }))
	m.Set("config_offset", expvar.Func(func() any { return n.Offset() }))
	m.Set("requests_in_flight", expvar.Func(func() any { return n.requests.InFlight() }))
	m.Set("admission", expvar.Func(func() any { return n.admission.Status() }))
	m.Set("cache_event_gaps", expvar.Func(func() any { return n.balancer.EventGaps() }))
	m.Set("log_appends", expvar.Func(func() any { return n.writer.Appends() }))
	m.Set("log_appends_gathered", expvar.Func(func() any { return n.gatherer.Appends() }))
	m.Set("batches_handed_on", expvar.Func(func() any { return n.appender.HandedOn() }))
	m.Set("gatherer_failures", expvar.Func(func() any { return n.appender.Failed() }))
	m.Set("spend_right_left_ms", expvar.Func(func() any { return n.holder.RightLeft().Milliseconds() }))
	m.Set("open_reservations", expvar.Func(func() any { return n.holder.Open() }))
	m.Set("unsettled", expvar.Func(func() any { return n.holder.Unsettled() }))
	m.Set("witnessed_for_others", expvar.Func(func() any { return n.budgets.memory.Len() }))
	m.Set("parts_borrowed", expvar.Func(func() any { return n.budgets.borrower.Parts() }))
	m.Set("excess_tokens", expvar.Func(func() any { return n.ledger.Excess() }))
	return m
}
