package reach

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Peer is another node that may relay.
type Peer struct {
	Name, Address      string
	DataCentre, Region string
	// PathsLost reports that the node said that it has lost most of its own paths.
	PathsLost bool
}

// Location is the data centre and region of this node.
type Location struct{ DataCentre, Region string }

// distance ranks a peer by what it costs to relay through it: bytes within the data centre, between
// data centres, between regions.
func (l Location) distance(p Peer) int {
	switch {
	case p.DataCentre == l.DataCentre:
		return 0
	case p.Region == l.Region:
		return 1
	default:
		return 2
	}
}

// rank returns up to limit peers to ask for a connection, in order. Those that have paths of
// their own come before those that have lost them or that couldn't help lately, and near ones
// before far ones. But a whole data centre may be cut off at once: after the first of a data
// centre comes one of another, if the region has any.
func rank(peers []Peer, from Location, avoid func(name string) bool, limit int) []Peer {
	shuffled := slices.Clone(peers)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	slices.SortStableFunc(shuffled, func(x, y Peer) int {
		return cmp.Or(compareBool(unlikely(x, avoid), unlikely(y, avoid)), cmp.Compare(from.distance(x), from.distance(y)))
	})
	first := firstOfEachDataCentre(shuffled, from, avoid)
	return first[:min(len(first), limit)]
}

func unlikely(p Peer, avoid func(name string) bool) bool { return p.PathsLost || avoid(p.Name) }

// firstOfEachDataCentre moves the first likely peer of each data centre of the region to the front.
func firstOfEachDataCentre(ranked []Peer, from Location, avoid func(name string) bool) []Peer {
	var first, rest []Peer
	seen := make(map[string]bool)
	for _, p := range ranked {
		if p.Region == from.Region && !unlikely(p, avoid) && !seen[p.DataCentre] {
			seen[p.DataCentre] = true
			first = append(first, p)
			continue
		}
		rest = append(rest, p)
	}
	return append(first, rest...)
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}
