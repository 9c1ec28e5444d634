package gateway

import (
	"slices"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/streamorigin"
)

// The version of the upstream at which a stream goes on, compared with the one that began it, in metrics.
const (
	sameVersion    = "same_version"
	otherVersion   = "other_version"
	unknownVersion = "unknown_version"
)

// recordStreamBegin records where a stream began, or that it goes on at an upstream. It is called for the first
// event that an upstream sends.
func (c *call) recordStreamBegin(u *directory.Upstream) {
	origin := c.origin.Load()
	switch {
	case origin == nil && c.r.HasResumeAfter:
		c.g.Metrics.recordContinued(unknownVersion)
	case origin == nil:
	case origin.Fits(u.Service, u.Version):
		c.g.Metrics.recordContinued(sameVersion)
	default:
		c.g.Metrics.recordContinued(otherVersion)
	}
	if origin == nil {
		c.origin.Store(&streamorigin.Origin{Service: u.Service, Version: u.Version})
	}
}

// serviceUpstreams returns the upstreams of the request's service.
func (c *call) serviceUpstreams() []*directory.Upstream {
	return c.g.Directory.Current().Upstreams(c.service.Name)
}

// upstreams returns the upstreams that may take the request: those of the service or, for a stream that has
// begun, those of the version that began it.
func (c *call) upstreams() []*directory.Upstream {
	origin := c.origin.Load()
	if origin == nil {
		return c.serviceUpstreams()
	}
	return slices.DeleteFunc(slices.Clone(c.serviceUpstreams()), func(u *directory.Upstream) bool {
		return !origin.Fits(u.Service, u.Version)
	})
}
