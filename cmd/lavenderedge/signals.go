package main

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/platform"
)

const (
	// addressPropagation is how long after SIGTERM other nodes still hand out the node's address.
	addressPropagation = 700 * time.Millisecond
	// minDrainTime is how long after SIGTERM requests are accepted that certainly end in time:
	// some callers use an address a little longer than its TTL.
	minDrainTime = addressTTL + 1500*time.Millisecond
	// finalReportReserve is the time kept before SIGKILL for the final report.
	finalReportReserve = 900 * time.Millisecond
	// endReserve is the time kept before SIGKILL to end requests that are still open.
	endReserve = 250 * time.Millisecond
	// maxEndTime bounds the wait until the last responses have been written.
	maxEndTime = 100 * time.Millisecond
	// drainPollInterval is how often the requests in flight are checked.
	drainPollInterval = 20 * time.Millisecond
	// newConnTimeout is how long, after the listener was closed, a connection that was accepted before
	// may take to bring its request: round trips between regions, and a caller that waits for its
	// processor. Only a caller that connects ahead of its requests delays the end by all of it.
	newConnTimeout = time.Second
)

// drain serves until callers no longer hold the node's address and every request has ended,
// returns the node's budget share and stops. Requests that outlast the grace period are ended.
// Callers that use the address until nothing answers there are refused by the system once the
// listener is closed; until then each connection is accepted, and each request answered.
func (p *process) drain() {
	start := p.clock.Now()
	end := start + p.settings.Bounds.Grace - endReserve
	p.node.Leave(drain.Window{AddressesExpire: start + addressTTL + addressPropagation, End: end})
	p.stopGuard()
	p.callers.leave()
	p.pollUntil(start+min(minDrainTime, p.settings.Bounds.Grace-finalReportReserve), func() bool { return false })
	p.node.Refuse()
	p.pollUntil(start+p.settings.Bounds.Grace-finalReportReserve, p.idle)
	p.pollUntil(p.clock.Now()+maxEndTime, func() bool { return !p.callers.pending() })
	p.callers.stopAccepting(maxEndTime)
	newUntil := p.clock.Now() + newConnTimeout
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		p.node.Stop(context.Background())
	}()
	p.pollUntil(end, func() bool { return (p.clock.Now() >= newUntil || !p.callers.hasNew()) && p.idle() })
	p.endRequests(drain.ErrNodeEnds)
	p.closeFrontend(maxEndTime)
	<-stopped
}

// closeFrontend closes connections once their responses have been written: a handler returns
// before its last bytes are.
func (p *process) closeFrontend(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := p.frontend.Shutdown(ctx); err != nil {
		p.events.Record(event.ConnectionsCut, "in_flight", p.inFlight.n.Load(), "error", err)
		_ = p.frontend.Close() // what is still open now isn't read by its caller
	}
}

// idle reports whether no request is open or waits to be read, of a caller here or of another node
// that this one relays for.
func (p *process) idle() bool {
	return p.inFlight.n.Load() == 0 && !p.callers.busy() && (p.paths == nil || p.paths.RelayIdle())
}

// pollUntil polls until done returns true or a time is reached.
func (p *process) pollUntil(at time.Duration, done func() bool) {
	for !done() && p.clock.Now() < at {
		time.Sleep(drainPollInterval)
	}
}

// reload reads the settings again and logs whether the bounds changed; nothing is applied,
// since addresses and locations can't change within a process.
func (p *process) reload(path string) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		p.events.Record(event.SettingsRead, "error", err)
		return
	}
	p.events.Record(event.SettingsRead, "bounds_changed", settings.Bounds != p.settings.Bounds, "store", settings.Store.Address)
}
