package routing

import "lavenderpin.dev/lavenderpin/routing/cache"

// group is the upstreams of a region, or those outside of it, that aren't draining.
type group struct {
	// at holds their indexes in the table.
	at []int
	// holders are the numbers in the prefix index of those that have one, and held their
	// indexes in the table.
	holders []int
	held    []int
}

func (g *group) add(at, holder int) {
	g.at = append(g.at, at)
	if holder != noHolder {
		g.holders = append(g.holders, holder)
		g.held = append(g.held, at)
	}
}

// neighbourhood is a table as seen from one region.
type neighbourhood struct {
	local, remote group
}

// neighbourhoods works out what each region with upstreams sees, so that a pick needn't
// tell near and far apart for each upstream.
func (t *table) neighbourhoods() map[string]*neighbourhood {
	seen := map[string]*neighbourhood{}
	for _, u := range t.candidates {
		region := u.GetRegion()
		if seen[region] != nil {
			continue
		}
		n := &neighbourhood{}
		for at, e := range t.entries {
			switch {
			case e.draining:
			case t.candidates[at].GetRegion() == region:
				n.local.add(at, e.holder)
			default:
				n.remote.add(at, e.holder)
			}
		}
		seen[region] = n
	}
	return seen
}

// deepest lists the members that hold most of the prompt, as indexes in the table.
func (g *group) deepest(depths *cache.MatchLengths, into *[cache.MaxEngines]int) []int {
	most, n := uint8(1), 0
	for i, holder := range g.holders {
		depth := depths[holder]
		if depth < most {
			continue
		}
		if depth > most {
			most, n = depth, 0
		}
		into[n] = g.held[i]
		n++
	}
	return into[:n]
}
