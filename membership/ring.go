package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// Neighbours returns the members that this node pings: those 1, 2, 4… places after it on
// the hash ring. Each node thus pings, and is pinged by, a number of nodes logarithmic in
// the fleet size, and updates take as many hops.
func (t *Table) Neighbours() []*recordv1.NodeInfo {
	ring := t.ring()
	var neighbours []*recordv1.NodeInfo
	for distance := 1; distance <= len(ring); distance *= 2 {
		neighbours = append(neighbours, ring[distance-1])
	}
	return neighbours
}

// ring returns the members in the order of their hashed incarnations, starting after self.
func (t *Table) ring() []*recordv1.NodeInfo {
	ring := make([]*recordv1.NodeInfo, 0, len(t.members))
	for _, m := range t.members {
		ring = append(ring, m.Node)
	}
	start := xxhash.Sum64String(t.self.GetIncarnation())
	sort.Slice(ring, func(i, j int) bool {
		return xxhash.Sum64String(ring[i].GetIncarnation())-start < xxhash.Sum64String(ring[j].GetIncarnation())-start
	})
	return ring
}

// Helpers returns up to n members to ask for an indirect ping of target.
func (t *Table) Helpers(target string, n int) []*recordv1.NodeInfo {
	var helpers []*recordv1.NodeInfo
	for _, node := range t.ring() {
		m := t.members[node.GetIncarnation()]
		if node.GetIncarnation() != target && !m.Suspect && len(helpers) < n {
			helpers = append(helpers, node)
		}
	}
	return helpers
}
