package peerfetch

import (
	"cmp"
	"slices"
)

// Peer is a node of this data centre.
type Peer struct {
	Node    string
	Address string
	// Capacity is the capacity of the node's instance in hundredths of a standard one.
	Capacity int
}

// rankNode returns a node's rank among the nodes of its data centre and the peers ranked before it,
// in order; rank 0 reads the store itself. Nodes with the largest capacity come first, since they
// send what the others fetch. Nodes with different views may both rank first, or none may: the
// former costs one more read, the latter ends when the next node's timeout expires.
func rankNode(self string, peers []Peer) (rank int, before []Peer) {
	if len(peers) < minPeers {
		return 0, nil
	}
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Node, b.Node))
	})
	rank = slices.IndexFunc(ranked, func(p Peer) bool { return p.Node == self })
	if rank <= 0 {
		return 0, nil
	}
	return rank, ranked[:rank]
}

// sourcesOf returns the peers that a node asks first.
func sourcesOf(ranked []Peer) []Peer { return ranked[:min(len(ranked), sourceCount)] }
