package membership

import (
	"github.com/cespare/xxhash/v2"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// memberID returns the ID by which messages refer to a member that the receiver can look
// up in the log. Two incarnations of a fleet collide once in 10^14 fleets of 400; their
// views would then be confused until one of them ends.
func memberID(node *recordv1.NodeInfo) uint64 { return xxhash.Sum64String(node.GetIncarnation()) }

// resolveNode returns the node that a view describes, or nil if its member ID is unknown.
func (t *Table) resolveNode(view *fleetv1.PeerView) *recordv1.NodeInfo {
	if view.GetNode() != nil {
		return view.GetNode()
	}
	if view.GetMember() == memberID(t.self) {
		return t.self
	}
	if m := t.byID[view.GetMember()]; m != nil {
		return m.Node
	}
	return nil
}

// compact replaces a view's node by its member ID if the node is open in the log, from
// which receivers learn the rest. Other nodes keep their full information: receivers
// would otherwise never learn of a node that started during a log outage.
func (t *Table) compact(view *fleetv1.PeerView) *fleetv1.PeerView {
	if node := view.GetNode(); t.open[node.GetIncarnation()] {
		view.Member, view.Node = memberID(node), nil
	}
	return view
}
