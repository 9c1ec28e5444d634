package node

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/admission"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/routing"
)

const (
	// defaultSlots are those of an upstream that declares none.
	defaultSlots = 16
	// overloadInterval is the time between two looks for overload to record.
	overloadInterval = time.Second
)

// regionUpstreams is the balancer as seen from the node's region; it implements
// admission.Upstreams.
type regionUpstreams struct {
	balancer *routing.Balancer
	region   string
}

// Pressure implements admission.Upstreams.
func (r regionUpstreams) Pressure(service string) (here, elsewhere routing.Pressure) {
	return r.balancer.Pressure(service, r.region)
}

// LimitLocal implements admission.Upstreams.
func (r regionUpstreams) LimitLocal(service string, limit int) { r.balancer.LimitLocal(service, limit) }

func (n *Node) newAdmission() *admission.Controller {
	return admission.NewController(n.deps.Clock, n.admissionSettings, regionUpstreams{n.balancer, n.settings.Region})
}

// admissionSettings gives a node its part of the slots of this region's engines to
// start with, as the region's other nodes use them too, and lets it grow to twice all
// of them. Plain services don't report their load, so nothing could make the limit
// grow: they start with all slots.
func (n *Node) admissionSettings(service string) admission.Settings {
	view := n.Config()
	slots := n.regionSlots(view.Upstreams(service))
	settings := admission.DefaultSettings(slots)
	if view.Service(service).GetKind() == operatorv1.ServiceKind_SERVICE_KIND_ENGINE {
		settings.InitialLimit = max(1, slots/n.regionNodes())
	}
	return settings
}

// regionSlots sums up the slots of the upstreams in this region, or of all if there
// are none here.
func (n *Node) regionSlots(upstreams []*operatorv1.Upstream) int {
	near, all := 0, 0
	for _, u := range upstreams {
		slots := int(u.GetSlots())
		if slots == 0 {
			slots = defaultSlots
		}
		switch {
		case u.GetDraining():
			continue
		case u.GetRegion() == n.settings.Region:
			near += slots
		}
		all += slots
	}
	if near > 0 {
		return near
	}
	return all
}

// regionNodes counts the nodes of this region that serve, this one included.
func (n *Node) regionNodes() int {
	count := 1
	for _, member := range n.members.All() {
		if member.Node.GetRegion() == n.settings.Region && !member.Suspect && !member.Draining {
			count++
		}
	}
	return count
}

// watchOverload records when a service becomes overloaded on this node, and when it no
// longer is, until ctx ends.
func (n *Node) watchOverload(ctx context.Context) {
	standing := map[string]bool{}
	periodic.Run(ctx, n.deps.Clock, overloadInterval, func(context.Context) { n.recordOverload(standing) })
}

func (n *Node) recordOverload(standing map[string]bool) {
	for service, status := range n.admission.Status() {
		if status.Standing == standing[service] {
			continue
		}
		standing[service] = status.Standing
		number := event.OverloadEnded
		if status.Standing {
			number = event.OverloadBegan
		}
		n.events.Record(number, "service", service, "limit", status.Limit, "refused", status.Refused)
	}
}
