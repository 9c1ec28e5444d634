package catalog

import "slices"

// Regions is the set of regions in which a request may be served. The zero value allows any region.
type Regions struct {
	limited bool
	names   []string
}

// OnlyRegions returns the set of the named regions; without names it allows any region.
func OnlyRegions(names ...string) Regions {
	return Regions{limited: len(names) > 0, names: slices.Clone(names)}
}

// Limited reports whether the set excludes any region.
func (r Regions) Limited() bool { return r.limited }

// Allow reports whether a region is in the set.
func (r Regions) Allow(region string) bool { return !r.limited || slices.Contains(r.names, region) }

// Intersect returns the regions that both sets allow, which may be none.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.limited:
		return other
	case !other.limited:
		return r
	}
	return Regions{limited: true, names: slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return !other.Allow(name) })}
}

// Names returns the regions of a limited set.
func (r Regions) Names() []string { return r.names }
