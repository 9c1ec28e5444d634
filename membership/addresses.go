package membership

import (
	"sort"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// Address is one node that callers may use.
type Address struct {
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
}

// Addresses returns the nodes that callers should use, the best first: nodes of
// this region before others, then by load. A draining or silent node is never
// handed out, as a caller would keep its address and be refused.
func (m *Members) Addresses(selfServes bool, selfInFlight uint32) []Address {
	candidates := []Member{}
	if selfServes {
		candidates = append(candidates, Member{Node: m.self, InFlight: selfInFlight})
	}
	for _, member := range m.All() {
		if !member.Draining && !member.Suspect {
			candidates = append(candidates, member)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if m.near(a.Node) != m.near(b.Node) {
			return m.near(a.Node)
		}
		return a.InFlight < b.InFlight
	})
	addresses := make([]Address, 0, len(candidates))
	for _, c := range candidates {
		addresses = append(addresses, Address{c.Node.GetHttpAddress(), c.Node.GetRegion(), c.Node.GetDataCentre()})
	}
	return addresses
}

func (m *Members) near(node *recordv1.NodeInfo) bool { return node.GetRegion() == m.self.GetRegion() }
