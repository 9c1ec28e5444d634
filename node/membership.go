package node

import (
	"context"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/result"
)

// firstHeartbeatNumber is the number of the heartbeat that opens an incarnation.
const firstHeartbeatNumber = 1

// heartbeatIntervalPerNode limits the fleet to about one heartbeat per second: every node reads
// each heartbeat, so with a fixed interval the reads per node would grow with the fleet.
const heartbeatIntervalPerNode = time.Second

func (n *Node) initMembership() {
	n.instances = membership.NewInstances(n.deps.Instances, n.deps.Clock, n.events)
	n.members = membership.NewMembers(n.info, n.deps.Clock, n.deps.Peers, n.events, n.openNodes, n.selfView)
	n.members.SetPlatformAddresses(n.instances.PeerAddresses)
}

// openNodes returns the nodes whose incarnations are open according to the log.
func (n *Node) openNodes() []*recordv1.NodeInfo {
	var nodes []*recordv1.NodeInfo
	for _, i := range n.ledger.Incarnations() {
		if !i.Closed {
			nodes = append(nodes, i.Node)
		}
	}
	return nodes
}

// selfView describes this node to its peers.
func (n *Node) selfView() *fleetv1.PeerView {
	return &fleetv1.PeerView{
		Node:         n.info,
		Draining:     n.State() != StateServing,
		InFlight:     uint32(n.requests.InFlight()),
		ConfigOffset: n.AppliedOffset(),
		PathsLost:    n.pathsLost(),
	}
}

// Addresses returns the nodes that a caller with the given key should use, and for how long.
// It depends on neither the log nor the platform's list of instances.
func (n *Node) Addresses(key string) ([]membership.Address, time.Duration) {
	query := membership.AddressQuery{
		Account:       n.Config().AccountByKey(key).GetName(),
		SelfServing:   n.State() == StateServing,
		SelfInFlight:  uint32(n.requests.InFlight()),
		SelfPathsLost: n.pathsLost(),
	}
	return n.members.Addresses(query), n.settings.AddressLifetime
}

// Members returns this node's view of the other nodes.
func (n *Node) Members() *membership.Members { return n.members }

func (n *Node) handlePingVia(ctx context.Context, r *fleetv1.PingVia, response *fleetv1.Response) {
	views, err := n.members.HandlePingVia(ctx, r)
	if err != nil {
		setError(response, err)
		return
	}
	response.Body = &fleetv1.Response_Pong{Pong: &fleetv1.Pong{Views: views}}
}

func setError(response *fleetv1.Response, err error) {
	failure := result.From(err)
	response.Code = uint32(failure.Code)
	response.Message = failure.Message
}

// heartbeatInterval grows with the fleet, up to a quarter of the spend right.
func (n *Node) heartbeatInterval() time.Duration {
	scaled := time.Duration(len(n.members.All())+1) * heartbeatIntervalPerNode
	return max(n.settings.HeartbeatInterval, min(scaled, n.settings.SpendRight/4))
}
