package membership

import (
	"github.com/cespare/xxhash/v2"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// numberOf returns what messages name a member by whom the receiver can know from the
// log. Two of a fleet's incarnations share a number once in 10^14 fleets of 400; their
// views would then be taken for each other's until one of them ends.
func numberOf(node *recordv1.NodeInfo) uint64 { return xxhash.Sum64String(node.GetIncarnation()) }

// nodeOf returns whom a view is about; nil when it names a number that isn't known here.
func (t *Table) nodeOf(view *fleetv1.PeerView) *recordv1.NodeInfo {
	if view.GetNode() != nil {
		return view.GetNode()
	}
	if view.GetMember() == numberOf(t.self) {
		return t.self
	}
	if m := t.numbers[view.GetMember()]; m != nil {
		return m.Node
	}
	return nil
}

// shorten names a view's member by its number where the log holds it open, since
// whoever follows the log then knows the rest. What the log doesn't show is written
// out: a receiver would otherwise never learn of a node that started in an outage.
func (t *Table) shorten(view *fleetv1.PeerView) *fleetv1.PeerView {
	if node := view.GetNode(); t.open[node.GetIncarnation()] {
		view.Member, view.Node = numberOf(node), nil
	}
	return view
}
