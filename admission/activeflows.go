package admission

import "time"

// minActiveTokens is the demand from which a flow counts as active.
const minActiveTokens = 1.0

// activeFlows sums the weight and demand of the active flows on one level (teams or accounts).
type activeFlows struct {
	now time.Time
	// includeBacklog counts waiting tokens in addition to recently admitted ones.
	includeBacklog bool
	weight         float64
	demand         float64
}

func (s *activeFlows) demandOf(f *flow) float64 {
	demand := f.usage.recent(s.now)
	if s.includeBacklog {
		demand += f.backlog
	}
	return demand
}

func (s *activeFlows) add(f *flow) {
	if demand := s.demandOf(f); demand >= minActiveTokens {
		s.weight += f.weight
		s.demand += demand
	}
}

// belowShare reports whether a flow's demand is below its weighted share of the total. A flow
// that is the only active one is never below its share; an idle flow always is.
func (s *activeFlows) belowShare(f *flow) bool {
	demand := s.demandOf(f)
	return demand < minActiveTokens || demand < s.demand*f.weight/s.weight
}
