package node

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
)

const (
	eventsTimeout = 2 * time.Second
	// timelineLimit keeps a response below gRPC's message limit of 4 MB.
	timelineLimit = 10_000
)

// Timeline returns the events with id in the order of the hybrid logical clock. If fleet is
// set, it includes the events of all nodes that this one reaches.
func (n *Node) Timeline(ctx context.Context, id string, fleet bool) *operatorv1.EventsResponse {
	all := n.localEvents(id)
	if fleet {
		for _, member := range n.members.All() {
			n.collectEvents(ctx, member.Node.GetPeerAddress(), id, all)
		}
	}
	merged := event.Merge(eventsFromProto(all.Events))
	if over := len(merged) - timelineLimit; over > 0 {
		merged = merged[over:]
		all.Dropped += uint64(over)
	}
	all.Events = eventsToProto(merged)
	return all
}

func (n *Node) collectEvents(ctx context.Context, address, id string, into *operatorv1.EventsResponse) {
	ctx, cancel := clockwork.WithTimeout(ctx, n.deps.Clock, eventsTimeout)
	defer cancel()
	response, err := n.deps.Peers.Call(ctx, address, &fleetv1.Request{
		From: n.Incarnation(), Hlc: uint64(n.events.Clock().Now()),
		Body: &fleetv1.Request_EventsGather{EventsGather: &fleetv1.EventsGather{Id: id}},
	})
	if err != nil {
		return
	}
	n.events.Clock().Observe(event.Timestamp(response.GetHlc()))
	into.Events = append(into.Events, response.GetEvents().GetEvents()...)
	into.Dropped += response.GetEvents().GetDropped()
}
