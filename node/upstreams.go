package node

import (
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/upstream"
)

// upstreamAccess implements upstream.Access with the pauses that the balancer holds and the
// leaving upstreams that are known beside the platform's list.
type upstreamAccess struct {
	balancer  *routing.Balancer
	instances *membership.Instances
	events    *event.Recorder
	// nodes returns the number of nodes that send to upstreams.
	nodes func() int
}

var _ upstream.Access = upstreamAccess{}

// newUpstreamGuard returns the client for everything that this node sends to upstreams.
func (n *Node) newUpstreamGuard() *upstream.Guard {
	guard := &upstream.Guard{Client: n.deps.Upstreams, Access: upstreamAccess{n.balancer, n.instances, n.events, func() int { return n.usableMembers() + 1 }}}
	guard.Streams, _ = n.deps.Upstreams.(upstream.Resumer)
	return guard
}

// Observe implements upstream.Observer.
func (a upstreamAccess) Observe(to *operatorv1.Upstream, notice upstream.Notice) {
	if notice.Leaving {
		a.instances.MarkLeaving(to.GetAddress())
	}
	if notice.Brittle && a.balancer.ObserveBrittle(to, notice.BrittleLimit, a.nodes(), notice.Rejected) {
		a.events.Record(event.UpstreamBrittle, "upstream", to.GetName(), "service", to.GetService(), "brittle", true, "limit", notice.BrittleLimit)
	}
	if notice.Limited && a.balancer.ObserveLimit(to, notice.RequestsPerSecond, a.nodes()) {
		a.events.Record(event.UpstreamLimit, "upstream", to.GetName(), "service", to.GetService(), "limited", true, "per_second", notice.RequestsPerSecond)
	}
	if a.balancer.Pause(to, notice.Pause) {
		a.events.Record(event.UpstreamPaused, "upstream", to.GetName(), "pause_ms", notice.Pause.Milliseconds())
	}
}

// PauseLeft implements upstream.Access.
func (a upstreamAccess) PauseLeft(to *operatorv1.Upstream) time.Duration {
	return a.balancer.PauseLeft(to)
}

// SaidLeaving implements upstream.Access.
func (a upstreamAccess) SaidLeaving(to *operatorv1.Upstream) bool {
	return a.instances.SaidLeaving(to.GetAddress())
}
