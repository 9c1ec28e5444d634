package node

import (
	"context"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/result"
)

// firstHeartbeat opens an incarnation.
const firstHeartbeat = 1

// heartbeatPerNode keeps the fleet's heartbeats under one a second: each is read by
// every node, so at a fixed interval what a node reads would grow with the fleet.
const heartbeatPerNode = time.Second

func (n *Node) newMembership() {
	n.instances = membership.NewInstances(n.deps.Instances, n.deps.Clock, n.events)
	n.members = membership.NewMembers(n.info, n.deps.Clock, n.deps.Peers, n.events, n.openNodes, n.view)
	n.members.SetPlatformAddresses(n.instances.PeerAddresses)
}

// openNodes lists the nodes that the log holds open.
func (n *Node) openNodes() []*recordv1.NodeInfo {
	var nodes []*recordv1.NodeInfo
	for _, i := range n.ledger.Incarnations() {
		if !i.Closed {
			nodes = append(nodes, i.Node)
		}
	}
	return nodes
}

// view describes this node to others.
func (n *Node) view() *fleetv1.PeerView {
	return &fleetv1.PeerView{
		Node:         n.info,
		Draining:     n.State() != StateServing,
		InFlight:     uint32(n.requests.InFlight()),
		ConfigOffset: n.AppliedOffset(),
	}
}

// Addresses returns the nodes that a caller with a key should use, and for how long.
// It needs neither the log nor the platform's list.
func (n *Node) Addresses(key string) ([]membership.Address, time.Duration) {
	asker := membership.AddressQuery{
		Account:      n.Config().AccountByKey(key).GetName(),
		SelfServing:  n.State() == StateServing,
		SelfInFlight: uint32(n.requests.InFlight()),
	}
	return n.members.Addresses(asker), n.settings.AddressLifetime
}

// Members returns the other nodes as this one sees them.
func (n *Node) Members() *membership.Members { return n.members }

func (n *Node) answerPingVia(ctx context.Context, r *fleetv1.PingVia, response *fleetv1.Response) {
	views, err := n.members.HandlePingVia(ctx, r)
	if err != nil {
		refuse(response, err)
		return
	}
	response.Body = &fleetv1.Response_Pong{Pong: &fleetv1.Pong{Views: views}}
}

func refuse(response *fleetv1.Response, err error) {
	known := result.From(err)
	response.Code = uint32(known.Code)
	response.Message = known.Message
}

// heartbeatInterval grows with the fleet, within the right to spend.
func (n *Node) heartbeatInterval() time.Duration {
	grown := time.Duration(len(n.members.All())+1) * heartbeatPerNode
	return max(n.settings.HeartbeatInterval, min(grown, n.settings.SpendRight/4))
}
