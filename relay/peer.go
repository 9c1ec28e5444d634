package relay

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// fanOut is how many nodes of a data centre read from one. It bounds what a node
// sends whatever the size of the fleet, for a few more hops.
const fanOut = 3

// Peer is a node that records can be read from.
type Peer struct {
	Incarnation string
	Address     string
	Region      string
	DataCentre  string
	// Offset is the highest offset that the node is known to have folded.
	Offset uint64
}

// readsFrom returns whom self reads from; false when it reads the log.
//
// Within a data centre the nodes form a tree in the order of their hashed names;
// its root reads from the root of the region, and that one from the log. Nodes
// whose views differ may read from each other in a ring, which shows as an age that
// grows; Source then turns to the log.
func readsFrom(self Peer, others []Peer) (Peer, bool) {
	var centre, region []Peer
	for _, p := range append([]Peer{self}, others...) {
		if p.Region == self.Region {
			region = append(region, p)
			if p.DataCentre == self.DataCentre {
				centre = append(centre, p)
			}
		}
	}
	rank(centre)
	for i, p := range centre {
		if i > 0 && p.Incarnation == self.Incarnation {
			return centre[(i-1)/fanOut], true
		}
	}
	rank(region)
	return region[0], region[0].Incarnation != self.Incarnation
}

func rank(peers []Peer) {
	sort.Slice(peers, func(i, j int) bool {
		a, b := xxhash.Sum64String(peers[i].Incarnation), xxhash.Sum64String(peers[j].Incarnation)
		if a != b {
			return a < b
		}
		return peers[i].Incarnation < peers[j].Incarnation
	})
}

// byOffset returns the peers that know most, the highest offset first.
func byOffset(peers []Peer) []Peer {
	sorted := append([]Peer(nil), peers...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Offset > sorted[j].Offset })
	return sorted[:min(len(sorted), maxAsked)]
}
