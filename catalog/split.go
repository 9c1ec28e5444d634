package catalog

// ChooseService returns the service for a request by the route's weights; draw is uniform in
// [0, 1). It returns an empty name if no service has a weight.
func (r *Route) ChooseService(draw float64) string {
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		return ""
	}
	at := draw * float64(total)
	for _, w := range r.Split {
		at -= float64(w.Weight)
		if at < 0 {
			return w.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
