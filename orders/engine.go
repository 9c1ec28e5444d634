package orders

import (
	"slices"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// Report is what an engine tells of itself. It lags behind the truth.
type Report struct {
	Models []Model `json:"models"`
	// Capacity is how many models the engine can hold.
	Capacity int `json:"capacity"`
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	// Fencing is the highest fencing number seen, of engines that check it.
	Fencing uint64 `json:"fencing"`
}

// Engine is an upstream together with its last report.
type Engine struct {
	Upstream *operatorv1.Upstream
	Report   Report
	// Ordered is the desired set last ordered, while the engine doesn't report it
	// yet; nil when nothing is outstanding. Without it a lagging report would have
	// the same weights fetched again in every round.
	Ordered []Model
}

// keeps tells whether the engine holds some version of a model and isn't ordered
// to drop it.
func (e Engine) keeps(name string) bool {
	named := func(m Model) bool { return m.Name == name }
	if !slices.ContainsFunc(e.Report.Models, named) {
		return false
	}
	return e.Ordered == nil || slices.ContainsFunc(e.Ordered, named)
}

// coming tells whether the engine is ordered to hold a model that it doesn't report.
func (e Engine) coming(m Model) bool {
	return !e.holds(m) && slices.ContainsFunc(e.Ordered, m.equal)
}

func (e Engine) holds(m Model) bool {
	return slices.ContainsFunc(e.Report.Models, m.equal)
}

// free tells whether the engine can take one more model now.
func (e Engine) free() bool { return e.Ordered == nil && len(e.Report.Models) < e.Report.Capacity }

// load is the share of the engine's slots in use.
func (e Engine) load() float64 {
	if e.Report.Slots == 0 {
		return 0
	}
	return float64(e.Report.InFlight) / float64(e.Report.Slots)
}
