package routing

import "lavenderpin.dev/lavenderpin/routing/health"

// The states of a target in its service's count of sick ones.
const (
	targetWell int32 = iota
	targetSick
	targetGone
)

// healthChanged counts the targets whose breaker isn't closed. While there are any,
// picks look at all upstreams: drawing a few, they would hardly ever come upon the one
// that waits for a probe, and it would stay out long after it had recovered.
func (s *service) healthChanged(t *target, state health.State) {
	switch state {
	case health.Open:
		if t.wellness.CompareAndSwap(targetWell, targetSick) {
			s.sick.Add(1)
		}
	case health.Closed:
		if t.wellness.CompareAndSwap(targetSick, targetWell) {
			s.sick.Add(-1)
		}
	}
}

// left takes a target that is no longer in the table out of the count, for good: its
// last requests may still end badly.
func (s *service) left(t *target) {
	if t.wellness.Swap(targetGone) == targetSick {
		s.sick.Add(-1)
	}
}
