package routing

import "lavenderpin.dev/lavenderpin/routing/health"

// The values of target.healthState, which decides whether service.unhealthy counts a target.
const (
	targetHealthy int32 = iota
	targetUnhealthy
	targetRemoved
)

// breakerChanged counts the targets whose breaker isn't closed. While there are any, picks
// scan all upstreams: a small random sample would rarely include the one that is due for
// a probe, and it would stay excluded long after it had recovered.
func (s *service) breakerChanged(t *target, state health.State) {
	switch state {
	case health.Open:
		if t.healthState.CompareAndSwap(targetHealthy, targetUnhealthy) {
			s.unhealthy.Add(1)
		}
	case health.Closed:
		if t.healthState.CompareAndSwap(targetUnhealthy, targetHealthy) {
			s.unhealthy.Add(-1)
		}
	}
}

// removeTarget permanently excludes a target that left the table from the unhealthy count:
// its last requests may still fail.
func (s *service) removeTarget(t *target) {
	if t.healthState.Swap(targetRemoved) == targetUnhealthy {
		s.unhealthy.Add(-1)
	}
}
