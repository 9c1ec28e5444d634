package gateway

import (
	"time"

	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/queuedelay"
	"lavenderpin.dev/lavenderpin/result"
)

// RefuseBusy refuses a request, before its body is read, if the process is so short of processor time that the
// request would be answered late. It reports whether it did. The part that is refused grows with the lag by the
// policy that applies to late upstreams: another node may serve them.
func (g *Gateway) RefuseBusy(id, host, path string, sink Sink) bool {
	if g.Lag == nil {
		return false
	}
	wait, view := queuedelay.ProcessorWait(g.Lag()), g.Catalog.Current()
	if wait == 0 || view == nil {
		return false
	}
	route := view.Match(host, path)
	if route == nil || g.settings.Shedding.Admit(wait, route.Objective, random()) {
		return false
	}
	c := &call{g: g, r: &Request{ID: id}, sink: sink}
	c.refuse(result.New(result.NodeBusy, "a request waits %v for the processor, the objective is %v", wait.Round(time.Millisecond), route.Objective).WithRetryAfter(drain.RetryAfter))
	return true
}
