package node

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/membership"
)

const (
	// keepInterval and keepLimit bound the bytes that following another node's
	// events takes: at some 150 bytes an event, at most 2.4 KB/s.
	keepInterval = 2 * time.Second
	keepLimit    = 32
	// keptShare is the part of the event memory that goes to other nodes' events.
	keptShare = 4
)

// keepEvents follows the events of one other node, the next by name in the same
// region, so that each node's last events are known to somebody after its death.
func (n *Node) keepEvents(ctx context.Context) {
	periodic.Run(ctx, n.deps.Clock, keepInterval, func(ctx context.Context) {
		if next, ok := n.nextMember(); ok {
			n.keepOf(ctx, next)
		}
	})
}

// nextMember returns the member after this node in the ring of names, within its
// region when there is one: the link between regions is narrow.
func (n *Node) nextMember() (membership.Member, bool) {
	var near, all []membership.Member
	for _, m := range n.members.All() {
		all = append(all, m)
		if m.Node.GetRegion() == n.settings.Region {
			near = append(near, m)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return membership.Member{}, false
	}
	for _, m := range all {
		if m.Node.GetIncarnation() > n.Incarnation() {
			return m, true
		}
	}
	return all[0], true
}

func (n *Node) keepOf(ctx context.Context, of membership.Member) {
	name := of.Node.GetIncarnation()
	n.kept.RetainNodes(func(node string) bool { return node == name })
	ctx, cancel := clockwork.WithTimeout(ctx, n.deps.Clock, gatherTimeout)
	defer cancel()
	answer, err := n.deps.Peers.Call(ctx, of.Node.GetPeerAddress(), &fleetv1.Request{
		From: n.Incarnation(), Hlc: uint64(n.events.Clock().Now()),
		Body: &fleetv1.Request_EventsGather{EventsGather: &fleetv1.EventsGather{
			After: max(1, uint64(n.kept.LastTimestamp(name))), Limit: keepLimit,
		}},
	})
	if err != nil {
		return
	}
	n.events.Clock().Observe(event.Timestamp(answer.GetHlc()))
	n.kept.Add(name, fromWire(answer.GetEvents().GetEvents()), answer.GetEvents().GetDropped())
}

// gatherFor answers another node: what it follows, or all that this node holds.
func (n *Node) gatherFor(r *fleetv1.EventsGather) *operatorv1.EventsResponse {
	if r.GetAfter() == 0 {
		return n.localEvents(r.GetId())
	}
	events, left := n.events.After(event.Timestamp(r.GetAfter()), int(r.GetLimit()))
	return &operatorv1.EventsResponse{Events: toWire(events), Dropped: left}
}

// localEvents returns this node's events and those that it keeps of others.
func (n *Node) localEvents(id string) *operatorv1.EventsResponse {
	own, dropped := n.events.Find(id)
	kept, missing := n.kept.Find(id)
	return &operatorv1.EventsResponse{Events: toWire(append(own, kept...)), Dropped: dropped + missing}
}

func toWire(events []event.Event) []*operatorv1.Event {
	wire := make([]*operatorv1.Event, 0, len(events))
	for _, e := range events {
		wire = append(wire, &operatorv1.Event{
			Hlc: uint64(e.Timestamp), Node: e.Node, Number: uint32(e.Number), Name: e.Number.Kind().Name, Fields: e.Fields,
		})
	}
	return wire
}

func fromWire(wire []*operatorv1.Event) []event.Event {
	events := make([]event.Event, 0, len(wire))
	for _, e := range wire {
		events = append(events, event.Event{
			Timestamp: event.Timestamp(e.GetHlc()), Node: e.GetNode(), Number: event.Number(e.GetNumber()), Fields: e.GetFields(),
		})
	}
	return events
}
