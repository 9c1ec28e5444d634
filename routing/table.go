package routing

import (
	"slices"
	"sync/atomic"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// table is an immutable snapshot of a service's upstreams, replaced as a whole when the
// configuration changes.
type table struct {
	candidates []*operatorv1.Upstream
	// entries are in the order of candidates.
	entries     []entry
	byName      map[string]*target
	regionMeans map[string]*meanLoad
	// regionViews holds the view of each region that has upstreams.
	regionViews map[string]*regionView
}

// entry is what a pick reads of every upstream. It is small, so that a scan over hundreds
// stays within the CPU caches.
type entry struct {
	target     *target
	regionMean *meanLoad
	cacheID    int
	draining   bool
}

// builtFrom reports whether the table was built from these candidates. Usually they are the
// same slice: the configuration returns it until it changes, and the table keeps it alive, so
// its address can't be reused. While an upstream is leaving, each request has its own slice
// with the same elements.
func (t *table) builtFrom(candidates []*operatorv1.Upstream) bool {
	if len(t.candidates) != len(candidates) {
		return false
	}
	return len(candidates) == 0 || &t.candidates[0] == &candidates[0] || slices.Equal(t.candidates, candidates)
}

// service is the balancer's state of one service.
type service struct {
	table atomic.Pointer[table]
	// localInFlight counts this node's requests at upstreams of its own region, and
	// localLimit is the most that there should be; 0 for no limit.
	localInFlight atomic.Int64
	localLimit    atomic.Int64
	// unhealthy counts the upstreams whose breaker isn't closed.
	unhealthy atomic.Int64
}

func (s *service) localLimitReached() bool {
	limit := s.localLimit.Load()
	return limit > 0 && s.localInFlight.Load() >= limit
}

// meanLoad is the mean load from other nodes over a region's upstreams that report.
type meanLoad struct {
	requests ewma
	pending  ewma
}

// updateMean averages the load from other nodes in the latest reports.
func (s *service) updateMean(mean *meanLoad) {
	requests, pending, known := 0.0, 0.0, 0.0
	for _, e := range s.table.Load().entries {
		if e.regionMean != mean {
			continue
		}
		if r, p, ok := e.target.otherNodesLoad(); ok {
			requests += r
			pending += p
			known++
		}
	}
	if known > 0 {
		mean.requests.store(requests / known)
		mean.pending.store(pending / known)
	}
}
