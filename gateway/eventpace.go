package gateway

import (
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

const (
	// paceWindow is the number of events after which the pace of a stream is recorded: enough that events which arrive in one
	// packet average out, and with most engines in less than the 0.6 s after which work on a shared machine may slow down.
	paceWindow = 16
	// minPaceEvents is the least number of events that tell a pace at the end of a stream.
	minPaceEvents = 4
	// paceDeliveryDivisor divides a window into the longest time that it may spend on the caller's connection: events that wait
	// for a slow caller tell nothing about the upstream.
	paceDeliveryDivisor = 8
)

// eventPace measures the time for each event of a stream.
type eventPace struct {
	startedAt, lastAt time.Duration
	// delivered is how long the call had spent on delivery at the start of the window.
	delivered time.Duration
	events    int
}

// observe counts an event received at a time; delivered is how long the call has spent on delivery so far.
func (p *eventPace) observe(u *directory.Upstream, now, delivered time.Duration) {
	if p.startedAt == 0 {
		p.startedAt, p.lastAt, p.delivered = now, now, delivered
		return
	}
	p.events++
	p.lastAt = now
	if p.events >= paceWindow {
		p.record(u, delivered)
		*p = eventPace{startedAt: now, lastAt: now, delivered: delivered}
	}
}

// record records the pace of the current window, which is shorter at the end of a stream.
func (p *eventPace) record(u *directory.Upstream, delivered time.Duration) {
	window := p.lastAt - p.startedAt
	if p.events < minPaceEvents || (delivered-p.delivered)*paceDeliveryDivisor > window {
		return
	}
	u.ObserveEventTime(window/time.Duration(p.events), window, p.lastAt)
}
