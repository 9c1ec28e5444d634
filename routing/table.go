package routing

import (
	"slices"
	"sync/atomic"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// table is an immutable picture of a service's upstreams, replaced as a whole when
// the configuration changes.
type table struct {
	candidates []*operatorv1.Upstream
	// entries has the order of candidates.
	entries []entry
	byName  map[string]*target
	regions map[string]*regionLoad
	// seenFrom holds the neighbourhood of each region with upstreams.
	seenFrom map[string]*neighbourhood
}

// entry is what a pick reads of every upstream; kept small, so that a pass over
// hundreds stays within the processor's caches.
type entry struct {
	target   *target
	region   *regionLoad
	holder   int
	draining bool
}

// of tells whether the table was made from these candidates. Usually they are the same
// slice: the configuration hands it out until it changes, and the table keeps it alive,
// so its address can't be reused. While an upstream leaves, each request has a list of
// its own with the same members.
func (t *table) of(candidates []*operatorv1.Upstream) bool {
	if len(t.candidates) != len(candidates) {
		return false
	}
	return len(candidates) == 0 || &t.candidates[0] == &candidates[0] || slices.Equal(t.candidates, candidates)
}

// service is what the balancer keeps of one service.
type service struct {
	table atomic.Pointer[table]
	// local counts this node's requests at the upstreams of its own region, and
	// localLimit is how many there should be at most; 0 for no limit.
	local      atomic.Int64
	localLimit atomic.Int64
	// sick counts the upstreams whose breaker isn't closed.
	sick atomic.Int64
}

func (s *service) localFull() bool {
	limit := s.localLimit.Load()
	return limit > 0 && s.local.Load() >= limit
}

// regionLoad is the mean load by other nodes over a region's upstreams that report.
type regionLoad struct {
	requests average
	pending  average
}

// updateMeans averages the load that the latest reports ascribe to other nodes.
func (s *service) updateMeans(region *regionLoad) {
	requests, pending, known := 0.0, 0.0, 0.0
	for _, e := range s.table.Load().entries {
		if e.region != region {
			continue
		}
		if r, p, ok := e.target.foreign(); ok {
			requests += r
			pending += p
			known++
		}
	}
	if known > 0 {
		region.requests.store(requests / known)
		region.pending.store(pending / known)
	}
}
