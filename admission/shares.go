package admission

import "time"

// activeTokens is the demand above which a flow counts as active.
const activeTokens = 1.0

// shares sums up the active flows of one level.
type shares struct {
	now time.Time
	// waiting counts what waits as well as what was admitted lately.
	waiting bool
	weight  float64
	demand  float64
}

func (s *shares) of(v *virtual) float64 {
	demand := v.usage.lately(s.now)
	if s.waiting {
		demand += v.backlog
	}
	return demand
}

func (s *shares) add(v *virtual) {
	if demand := s.of(v); demand >= activeTokens {
		s.weight += v.weight
		s.demand += demand
	}
}

// light tells whether a flow's demand is below its part of the whole. A flow that is
// the only one never is, unless it was idle.
func (s *shares) light(v *virtual) bool {
	demand := s.of(v)
	return demand < activeTokens || demand < s.demand*v.weight/s.weight
}
