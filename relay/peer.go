package relay

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// fanOut is how many nodes of a data centre read from the same node. It bounds what a
// node sends at any fleet size, at the cost of a few more hops.
const fanOut = 3

// Peer describes a node that records can be read from.
type Peer struct {
	Incarnation string
	Address     string
	Region      string
	DataCentre  string
	// Offset is the highest offset that the node is known to have applied.
	Offset uint64
}

// selectParent returns the peer that self reads from; false when self reads the log.
//
// Within a data centre the nodes form a tree in the order of their hashed names; its
// root reads from the root of the region, and that one from the log. Nodes with
// different views may read from each other in a cycle; the age that they report then
// grows, and Source falls back to the log.
func selectParent(self Peer, others []Peer) (Peer, bool) {
	var dataCentre, region []Peer
	for _, p := range append([]Peer{self}, others...) {
		if p.Region == self.Region {
			region = append(region, p)
			if p.DataCentre == self.DataCentre {
				dataCentre = append(dataCentre, p)
			}
		}
	}
	sortByHash(dataCentre)
	for i, p := range dataCentre {
		if i > 0 && p.Incarnation == self.Incarnation {
			return dataCentre[(i-1)/fanOut], true
		}
	}
	sortByHash(region)
	return region[0], region[0].Incarnation != self.Incarnation
}

func sortByHash(peers []Peer) {
	sort.Slice(peers, func(i, j int) bool {
		a, b := xxhash.Sum64String(peers[i].Incarnation), xxhash.Sum64String(peers[j].Incarnation)
		if a != b {
			return a < b
		}
		return peers[i].Incarnation < peers[j].Incarnation
	})
}

// mostAdvanced returns the maxFallbackPeers peers with the highest offsets, highest first.
func mostAdvanced(peers []Peer) []Peer {
	sorted := append([]Peer(nil), peers...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Offset > sorted[j].Offset })
	return sorted[:min(len(sorted), maxFallbackPeers)]
}
