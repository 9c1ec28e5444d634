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
	// defaultSlots applies to an upstream that declares no slots.
	defaultSlots = 16
	// overloadInterval is the time between two checks for changes in overload.
	overloadInterval = time.Second
)

// regionUpstreams implements admission.Upstreams: the balancer's view from the node's region.
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

// admissionSettings returns an initial limit of this node's fraction of the region's engine
// slots, as the region's other nodes use them too; the limit may grow to twice all of them.
// Plain services don't report their load, so nothing could raise their limit: they start with
// all slots.
func (n *Node) admissionSettings(service string) admission.Settings {
	view := n.Config()
	slots := n.regionSlots(view.Upstreams(service))
	settings := admission.DefaultSettings(slots)
	if view.Service(service).GetKind() == operatorv1.ServiceKind_SERVICE_KIND_ENGINE {
		settings.InitialLimit = max(1, slots/n.regionNodes())
	}
	return settings
}

// regionSlots returns the total slots of the upstreams in this region, or of all upstreams if
// this region has none. Draining upstreams don't count.
func (n *Node) regionSlots(upstreams []*operatorv1.Upstream) int {
	local, total := 0, 0
	for _, u := range upstreams {
		slots := int(u.GetSlots())
		if slots == 0 {
			slots = defaultSlots
		}
		switch {
		case u.GetDraining():
			continue
		case u.GetRegion() == n.settings.Region:
			local += slots
		}
		total += slots
	}
	if local > 0 {
		return local
	}
	return total
}

// regionNodes returns the number of serving nodes in this region, including this one.
func (n *Node) regionNodes() int {
	count := 1
	for _, member := range n.members.All() {
		if member.Node.GetRegion() == n.settings.Region && !member.Suspect && !member.Draining {
			count++
		}
	}
	return count
}

// watchOverload records an event whenever the overload of a service on this node begins or
// ends, until ctx is done.
func (n *Node) watchOverload(ctx context.Context) {
	overloaded := map[string]bool{}
	periodic.Run(ctx, n.deps.Clock, overloadInterval, func(context.Context) { n.recordOverload(overloaded) })
}

func (n *Node) recordOverload(overloaded map[string]bool) {
	for service, status := range n.admission.Status() {
		if status.Standing == overloaded[service] {
			continue
		}
		overloaded[service] = status.Standing
		number := event.OverloadEnded
		if status.Standing {
			number = event.OverloadBegan
		}
		n.events.Record(number, "service", service, "limit", status.Limit, "refused", status.Refused)
	}
}
