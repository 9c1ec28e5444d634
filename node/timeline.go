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
	gatherTimeout = 2 * time.Second
	// timelineLimit keeps an answer below what gRPC carries in one message, 4 MB.
	timelineLimit = 10_000
)

// Timeline returns the events that carry id, of this node or of all that it
// reaches, in the order of the hybrid logical clock.
func (n *Node) Timeline(ctx context.Context, id string, fleet bool) *operatorv1.EventsResponse {
	all := n.localEvents(id)
	if fleet {
		for _, member := range n.members.All() {
			n.gather(ctx, member.Node.GetPeerAddress(), id, all)
		}
	}
	merged := event.Merge(fromWire(all.Events))
	if over := len(merged) - timelineLimit; over > 0 {
		merged = merged[over:]
		all.Dropped += uint64(over)
	}
	all.Events = toWire(merged)
	return all
}

func (n *Node) gather(ctx context.Context, address, id string, into *operatorv1.EventsResponse) {
	ctx, cancel := clockwork.WithTimeout(ctx, n.deps.Clock, gatherTimeout)
	defer cancel()
	answer, err := n.deps.Peers.Call(ctx, address, &fleetv1.Request{
		From: n.Incarnation(), Hlc: uint64(n.events.Clock().Now()),
		Body: &fleetv1.Request_EventsGather{EventsGather: &fleetv1.EventsGather{Id: id}},
	})
	if err != nil {
		return
	}
	n.events.Clock().Observe(event.Timestamp(answer.GetHlc()))
	into.Events = append(into.Events, answer.GetEvents().GetEvents()...)
	into.Dropped += answer.GetEvents().GetDropped()
}
