package gateway

import (
	"errors"
	"time"

	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/result"
)

// ErrNodeEnds is the cause with which the contexts of requests are canceled that are still open
// when the node ends.
var ErrNodeEnds = errors.New("the node ends")

// drainRetryAfter is the retry delay of a request that a draining node refuses: the caller only
// needs to connect to another node.
const drainRetryAfter = 100 * time.Millisecond

// Drain makes the gateway accept only requests that end within a graceful shutdown.
func (g *Gateway) Drain(w drain.Window) { g.drainWindow.Store(&w) }

// RefuseDraining refuses a request during a graceful shutdown without reading it.
func (g *Gateway) RefuseDraining(id string, sink Sink) {
	c := &call{g: g, r: &Request{ID: id}, sink: sink}
	c.refuse(drainRefusal())
}

func drainRefusal() *result.Error {
	return result.New(result.Draining, "this node is leaving").WithRetryAfter(drainRetryAfter)
}

// mayOutlastNode reports whether the node shuts down and a request that is sent now may not end
// before it.
func (c *call) mayOutlastNode() bool {
	w := c.g.drainWindow.Load()
	if w == nil {
		return false
	}
	return !w.Accepts(c.g.Clock.Now(), c.timeLeft(), c.g.durations.Usual(c.route.Name))
}

// drainLeft returns the time until a draining node ends open requests.
func (g *Gateway) drainLeft() (left time.Duration, draining bool) {
	w := g.drainWindow.Load()
	if w == nil {
		return 0, false
	}
	return w.Left(g.Clock.Now()), true
}
