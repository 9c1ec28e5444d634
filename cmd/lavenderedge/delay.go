package main

import (
	"expvar"

	"lavenderpin.dev/lavenderpin/queuedelay"
)

// newDelayMonitor returns what measures how long messages of the node wait on its link. It may run once the node has started.
func (p *process) newDelayMonitor() *queuedelay.Monitor {
	m := &queuedelay.Monitor{Clock: p.clock, Events: p.events, Exchange: queuedelay.ExchangeOver(p.peerClient), Nodes: func() []string { return p.node.Neighbours() },
		IsNeeded: func() bool { return p.inFlight.recent(p.clock) }, Link: queuedelay.NewLink(&p.meter, p.settings.Limits.LinkMbps)}
	p.publish("exchange_delay_ms", m.Measured())
	p.publish("link_bytes", expvar.Func(func() any {
		return map[string]int64{"received": p.meter.Received(), "sent": p.meter.Sent()}
	}))
	return m
}
