package node

import (
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/result"
)

// NodeStatuses returns this node's view of the fleet, itself first.
func (n *Node) NodeStatuses() []*operatorv1.NodeStatus {
	self := nodeStatus(n.info, string(n.State()))
	self.ConfigOffset = n.AppliedOffset()
	all := []*operatorv1.NodeStatus{self}
	for _, member := range n.members.All() {
		state := string(StateServing)
		if member.Draining {
			state = string(StateDraining)
		}
		if member.Suspect {
			state = "suspect"
		}
		all = append(all, nodeStatus(member.Node, state))
	}
	return all
}

func nodeStatus(info *recordv1.NodeInfo, state string) *operatorv1.NodeStatus {
	return &operatorv1.NodeStatus{
		Incarnation: info.GetIncarnation(), PeerAddress: info.GetPeerAddress(), HttpAddress: info.GetHttpAddress(),
		OperatorAddress: info.GetOperatorAddress(), Region: info.GetRegion(), DataCentre: info.GetDataCentre(), State: state,
	}
}

// Serving returns nil if the node accepts requests, or else the error to answer with. A draining
// node still accepts them, as callers keep using its address for a while.
func (n *Node) Serving() error {
	switch n.State() {
	case StateServing, StateDraining:
		return nil
	case StateStarting:
		if n.drainOrdered() {
			return errDrained()
		}
		return result.New(result.NotServing, "the node holds no configuration yet").WithRetryAfter(time.Second)
	case StateStopped:
		return drain.Refusal()
	default:
		return result.New(result.IncarnationClosed, "the node is being replaced").WithRetryAfter(time.Second)
	}
}
