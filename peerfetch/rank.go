package peerfetch

import (
	"cmp"
	"slices"
)

// Peer is a node of the data centre.
type Peer struct {
	Node    string
	Address string
	// Capacity is what its instance can carry, in hundredths of a usual one.
	Capacity int
}

// rank returns a node's place among the nodes of its data centre and the peers it fetches
// from; a place of 0 reads the store itself. Nodes with the most capacity come first, since
// they send what the others fetch. Nodes whose views differ may both be first, or none: the
// one costs a reading more, the other ends with the patience of the next.
func rank(self string, peers []Peer) (place int, sources []Peer) {
	if len(peers) < fewest {
		return 0, nil
	}
	order := slices.Clone(peers)
	slices.SortFunc(order, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Node, b.Node))
	})
	place = slices.IndexFunc(order, func(p Peer) bool { return p.Node == self })
	if place <= 0 {
		return 0, nil
	}
	return place, order[:min(place, asked)]
}
