package gateway

import (
	"slices"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/result"
)

// allowedRegions returns the regions in which both the route and the client account may be served.
func (c *call) allowedRegions() catalog.Regions {
	if c.account == nil {
		return c.route.Regions
	}
	return c.route.Regions.Intersect(c.account.Regions)
}

// inAllowedRegions returns the upstreams of allowed regions. One in a data centre of no known region isn't among
// them if regions are limited.
func (c *call) inAllowedRegions(upstreams []*directory.Upstream) []*directory.Upstream {
	if !c.regions.Limited() {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u *directory.Upstream) bool {
		return !c.regions.Allow(c.g.Regions[u.DataCentre])
	})
}

// refuseOutsideRegions refuses a request at once that only upstreams outside its regions could serve.
func (c *call) refuseOutsideRegions() *result.Error {
	if !c.regions.Limited() || len(c.listedUpstreams()) == 0 || len(c.serviceUpstreams()) > 0 {
		return nil
	}
	return result.New(result.RegionUnavailable, "no upstream of %s is in a region that the route and the account allow: %v", c.service.Name, c.regions.Names()).
		WithRetryAfter(c.capacityRetryAfter())
}
