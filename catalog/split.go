package catalog

import "slices"

// ChooseService picks a service by the route's weights; draw is uniform in [0, 1). It returns an
// empty name if no service has a positive weight.
func (r *Route) ChooseService(draw float64) string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		return ""
	}
	remaining := draw * float64(total)
	for _, w := range r.Split {
		remaining -= float64(w.Weight)
		if remaining < 0 {
			return w.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Serves reports whether the route sends requests to a service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Split, func(w WeightedService) bool { return w.Service == service && w.Weight > 0 })
}
