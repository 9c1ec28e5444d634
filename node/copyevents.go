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
	// eventCopyInterval and eventCopyLimit bound the traffic for copying another node's
	// events: at about 150 bytes per event, at most 2.4 KB/s.
	eventCopyInterval = 2 * time.Second
	eventCopyLimit    = 32
	// copiedEventsDivisor sizes the buffer for other nodes' events: 1/4 of the event capacity.
	copiedEventsDivisor = 4
)

// copyPeerEvents copies the events of one other node, the next by name in the same region, so
// that each node's last events survive its crash on another node.
func (n *Node) copyPeerEvents(ctx context.Context) {
	periodic.Run(ctx, n.deps.Clock, eventCopyInterval, func(ctx context.Context) {
		if next, ok := n.ringSuccessor(); ok {
			n.copyEventsOf(ctx, next)
		}
	})
}

// ringSuccessor returns the member after this node in the ring of names. It prefers members of
// the same region, as the link between regions is narrow.
func (n *Node) ringSuccessor() (membership.Member, bool) {
	var local, all []membership.Member
	for _, m := range n.members.All() {
		all = append(all, m)
		if m.Node.GetRegion() == n.settings.Region {
			local = append(local, m)
		}
	}
	if len(local) > 0 {
		all = local
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

func (n *Node) copyEventsOf(ctx context.Context, member membership.Member) {
	name := member.Node.GetIncarnation()
	n.copiedEvents.RetainNodes(func(node string) bool { return node == name })
	ctx, cancel := clockwork.WithTimeout(ctx, n.deps.Clock, eventsTimeout)
	defer cancel()
	response, err := n.deps.Peers.Call(ctx, member.Node.GetPeerAddress(), &fleetv1.Request{
		From: n.Incarnation(), Hlc: uint64(n.events.Clock().Now()),
		Body: &fleetv1.Request_EventsGather{EventsGather: &fleetv1.EventsGather{
			After: max(1, uint64(n.copiedEvents.LastTimestamp(name))), Limit: eventCopyLimit,
		}},
	})
	if err != nil {
		return
	}
	n.events.Clock().Observe(event.Timestamp(response.GetHlc()))
	n.copiedEvents.Add(name, eventsFromProto(response.GetEvents().GetEvents()), response.GetEvents().GetDropped())
}

// handleEventsGather returns the events after a timestamp to a node that copies them, or else
// every event with the requested ID that this node holds.
func (n *Node) handleEventsGather(r *fleetv1.EventsGather) *operatorv1.EventsResponse {
	if r.GetAfter() == 0 {
		return n.localEvents(r.GetId())
	}
	events, left := n.events.After(event.Timestamp(r.GetAfter()), int(r.GetLimit()))
	return &operatorv1.EventsResponse{Events: eventsToProto(events), Dropped: left}
}

// localEvents returns this node's events with id and those that it copied from other nodes.
func (n *Node) localEvents(id string) *operatorv1.EventsResponse {
	own, dropped := n.events.Find(id)
	copied, missing := n.copiedEvents.Find(id)
	return &operatorv1.EventsResponse{Events: eventsToProto(append(own, copied...)), Dropped: dropped + missing}
}

func eventsToProto(events []event.Event) []*operatorv1.Event {
	encoded := make([]*operatorv1.Event, 0, len(events))
	for _, e := range events {
		encoded = append(encoded, &operatorv1.Event{
			Hlc: uint64(e.Timestamp), Node: e.Node, Number: uint32(e.Number), Name: e.Number.Kind().Name, Fields: e.Fields,
		})
	}
	return encoded
}

func eventsFromProto(encoded []*operatorv1.Event) []event.Event {
	events := make([]event.Event, 0, len(encoded))
	for _, e := range encoded {
		events = append(events, event.Event{
			Timestamp: event.Timestamp(e.GetHlc()), Node: e.GetNode(), Number: event.Number(e.GetNumber()), Fields: e.GetFields(),
		})
	}
	return events
}
