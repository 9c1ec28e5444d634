package gather

import (
	"github.com/cespare/xxhash/v2"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/membership"
)

// ChooseGatherer returns who gathers for a node: the one of its data centre with the highest
// hash (rendezvous hashing), the node itself included. Nodes with the same view
// choose the same, and when one leaves only what it gathered moves. It returns nil
// where the policy has each node append for itself.
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
		if above(m.Node, chosen) {
			chosen = m.Node
		}
	}
	if count < policy.MinDataCentreNodes {
		return nil
	}
	return chosen
}

func above(a, b *recordv1.NodeInfo) bool {
	hashA, hashB := xxhash.Sum64String(a.GetIncarnation()), xxhash.Sum64String(b.GetIncarnation())
	if hashA != hashB {
		return hashA > hashB
	}
	return a.GetIncarnation() > b.GetIncarnation()
}
