package routing

import "lavenderpin.dev/lavenderpin/routing/cache"

// upstreamGroup lists the upstreams inside or outside of a region that aren't draining.
type upstreamGroup struct {
	// indexes are positions in the table.
	indexes []int
	// cacheIDs are the numbers in the prefix index of the members that have one, and
	// cacheIndexes their positions in the table.
	cacheIDs     []int
	cacheIndexes []int
}

func (g *upstreamGroup) add(index, cacheID int) {
	g.indexes = append(g.indexes, index)
	if cacheID != noCacheID {
		g.cacheIDs = append(g.cacheIDs, cacheID)
		g.cacheIndexes = append(g.cacheIndexes, index)
	}
}

// regionView splits a table's upstreams into those of one region and all others.
type regionView struct {
	local, remote upstreamGroup
}

// buildRegionViews computes the view of each region that has upstreams, so that a pick
// needn't compare the region of each upstream.
func (t *table) buildRegionViews() map[string]*regionView {
	views := map[string]*regionView{}
	for _, u := range t.candidates {
		region := u.GetRegion()
		if views[region] != nil {
			continue
		}
		view := &regionView{}
		for index, e := range t.entries {
			switch {
			case e.draining:
			case t.candidates[index].GetRegion() == region:
				view.local.add(index, e.cacheID)
			default:
				view.remote.add(index, e.cacheID)
			}
		}
		views[region] = view
	}
	return views
}

// longestMatches returns the table indexes of the members with the longest cached prefix.
func (g *upstreamGroup) longestMatches(cached *cache.MatchLengths, buffer *[cache.MaxEngines]int) []int {
	longest, n := uint8(1), 0
	for i, cacheID := range g.cacheIDs {
		length := cached[cacheID]
		if length < longest {
			continue
		}
		if length > longest {
			longest, n = length, 0
		}
		buffer[n] = g.cacheIndexes[i]
		n++
	}
	return buffer[:n]
}
