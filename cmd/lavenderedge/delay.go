package main

import (
	"context"
	"expvar"

	"lavenderpin.dev/lavenderpin/httpwire"
	"lavenderpin.dev/lavenderpin/queuedelay"
	"lavenderpin.dev/lavenderpin/tcpconn"
)

// newDelayMonitor returns what measures how long messages of the node wait on its link. It may run once the node has started.
func (p *process) newDelayMonitor(dial tcpconn.DialFunc) *queuedelay.Monitor {
	// A connection that takes long to open tells of a queue, which peerClient doesn't wait for.
	p.exchangeClient = httpwire.NewClient(httpwire.Options{Clock: p.clock, Dial: dial, DialTimeout: queuedelay.ExchangeTimeout})
	m := &queuedelay.Monitor{Clock: p.clock, Events: p.events, Exchange: queuedelay.ExchangeOver(p.exchangeClient), Nodes: func() []string { return p.node.Neighbours() },
		IsNeeded: func() bool { return p.inFlight.recent(p.clock) }, Link: queuedelay.NewLink(&p.meter, p.settings.Limits.LinkMbps)}
	p.publish("exchange_delay_ms", m.Measured())
	p.publish("link_bytes", expvar.Func(func() any {
		return map[string]int64{"received": p.meter.Received(), "sent": p.meter.Sent()}
	}))
	return m
}

// callerGuard refuses connections of callers while what they send queues on the node's link.
type callerGuard struct {
	queuedelay.Guard
	stop    context.CancelFunc
	stopped chan struct{}
}

// guardCallers starts to guard the listener for callers.
func (p *process) guardCallers(m *queuedelay.Monitor) func(*queuedelay.Listener) {
	return func(l *queuedelay.Listener) {
		ctx, cancel := context.WithCancel(context.Background())
		g := &callerGuard{stop: cancel, stopped: make(chan struct{})}
		g.Monitor, g.Listener = m, l
		p.guard.Store(g)
		p.publish("connections_refused", g.Metrics())
		if p.crowding != nil {
			go p.crowding.run(ctx, l)
		}
		go func() {
			defer close(g.stopped)
			g.Run(ctx)
		}()
	}
}

// stopGuard lets the node accept all connections from now on.
func (p *process) stopGuard() {
	if g := p.guard.Load(); g != nil {
		g.stop()
		<-g.stopped
	}
}

// refusesConnections reports whether connections of callers are refused now.
func (p *process) refusesConnections() bool {
	g := p.guard.Load()
	return g != nil && g.IsShut()
}
