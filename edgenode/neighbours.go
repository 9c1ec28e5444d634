package edgenode

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// neighbour is another node as one to exchange messages with.
type neighbour struct {
	address  string
	isNear   bool
	capacity int
	// rank orders equals; it differs from node to node, so that nodes spread over them.
	rank uint64
}

// Neighbours returns the peer addresses of the other nodes of this region, for exchanges that measure how long this node's
// messages wait: those of this data centre first, large instances before small ones.
func (n *Node) Neighbours() []string {
	var others []neighbour
	live := n.roster.Live()
	for i := range live {
		if r := &live[i]; r.Node != n.settings.Node && r.PeerAddress != "" && r.Region == n.settings.Region {
			others = append(others, neighbour{r.PeerAddress, r.DataCentre == n.settings.DataCentre, r.Capacity, pairRank(n.settings.Node, r.Node)})
		}
	}
	slices.SortFunc(others, func(a, b neighbour) int {
		if a.isNear != b.isNear {
			if a.isNear {
				return -1
			}
			return 1
		}
		return cmp.Or(b.capacity-a.capacity, cmp.Compare(a.rank, b.rank))
	})
	addresses := make([]string, len(others))
	for i := range others {
		addresses[i] = others[i].address
	}
	return addresses
}

// pairRank returns a number for a pair of nodes that differs from pair to pair.
func pairRank(node, other string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node + "/" + other)) // never fails
	return h.Sum64()
}
