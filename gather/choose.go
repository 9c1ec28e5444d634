package gather

import (
	"github.com/cespare/xxhash/v2"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/membership"
)

// ChooseGatherer returns the gatherer of a node: the node of its data centre with the
// highest hash (rendezvous hashing), the node itself included. Nodes with the same view
// choose the same one, and when a node leaves, only the batches that it gathered move. It
// returns nil when the fleet or the data centre has too few nodes to gather.
func ChooseGatherer(self *recordv1.NodeInfo, members []membership.Member, policy Policy) *recordv1.NodeInfo {
	if len(members)+1 < policy.MinFleetNodes {
		return nil
	}
	chosen, count := self, 1
	for _, m := range members {
		if !m.Usable() || m.Node.GetDataCentre() != self.GetDataCentre() || m.Node.GetRegion() != self.GetRegion() {
			continue
		}
		count++
		if ranksHigher(m.Node, chosen) {
			chosen = m.Node
		}
	}
	if count < policy.MinDataCentreNodes {
		return nil
	}
	return chosen
}

func ranksHigher(a, b *recordv1.NodeInfo) bool {
	hashA, hashB := xxhash.Sum64String(a.GetIncarnation()), xxhash.Sum64String(b.GetIncarnation())
	if hashA != hashB {
		return hashA > hashB
	}
	return a.GetIncarnation() > b.GetIncarnation()
}
