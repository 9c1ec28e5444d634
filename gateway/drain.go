package gateway

import (
	"time"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/drain"
)

// Drain makes the gateway accept only requests that end within a graceful shutdown.
func (g *Gateway) Drain(w drain.Window) { g.drainWindow.Store(&w) }

// RefuseDraining refuses a request during a graceful shutdown without reading it.
func (g *Gateway) RefuseDraining(id string, sink Sink) {
	c := &call{g: g, r: &Request{ID: id}, sink: sink}
	c.refuse(drain.Refusal())
}

// mayOutlastNode reports whether the node shuts down and a request that is sent now may not end
// before it.
func (c *call) mayOutlastNode() bool {
	w := c.g.drainWindow.Load()
	if w == nil {
		return false
	}
	now, limit, usual := c.g.Clock.Now(), c.timeLeft(), c.g.durations.Usual(c.route.Name)
	if c.route.Kind == catalog.NonIdempotent {
		return !w.AcceptsOnce(now, limit, usual)
	}
	return !w.Accepts(now, limit, usual)
}

// drainLeft returns the time until a draining node ends open requests.
func (g *Gateway) drainLeft() (left time.Duration, draining bool) {
	w := g.drainWindow.Load()
	if w == nil {
		return 0, false
	}
	return w.Left(g.Clock.Now()), true
}
