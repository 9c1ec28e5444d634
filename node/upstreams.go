package node

import (
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/upstream"
)

// upstreamAccess implements upstream.Access with the pauses that the balancer holds.
type upstreamAccess struct {
	balancer *routing.Balancer
	events   *event.Recorder
}

var _ upstream.Access = upstreamAccess{}

// newUpstreamGuard returns the client for everything that this node sends to upstreams.
func (n *Node) newUpstreamGuard() *upstream.Guard {
	guard := &upstream.Guard{Client: n.deps.Upstreams, Access: upstreamAccess{n.balancer, n.events}}
	guard.Streams, _ = n.deps.Upstreams.(upstream.Resumer)
	return guard
}

// Observe implements upstream.Observer.
func (a upstreamAccess) Observe(to *operatorv1.Upstream, notice upstream.Notice) {
	if a.balancer.Pause(to, notice.Pause) {
		a.events.Record(event.UpstreamPaused, "upstream", to.GetName(), "pause_ms", notice.Pause.Milliseconds())
	}
}

// PauseLeft implements upstream.Access.
func (a upstreamAccess) PauseLeft(to *operatorv1.Upstream) time.Duration {
	return a.balancer.PauseLeft(to)
}
