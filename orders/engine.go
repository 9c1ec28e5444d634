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
	// Role is what the engine does for its models, such as "prefill", and Roles those
	// that it can be told to take; both are empty for engines without roles.
	Role  string   `json:"role,omitempty"`
	Roles []string `json:"roles,omitempty"`
}

// Engine is an upstream together with its last report.
type Engine struct {
	Upstream *operatorv1.Upstream
	Report   Report
	// Ordered is the desired set last ordered, while the engine doesn't report it
	// yet; nil when nothing is outstanding. Without it a lagging report would have
	// the same weights fetched again in every round.
	Ordered []Model
	// OrderedRole is the role last ordered, when Ordered isn't nil.
	OrderedRole string
}

// keeps tells whether the engine holds some version of a model in the role that it
// reports, and isn't ordered to drop it or to change its role.
func (e Engine) keeps(name string) bool {
	named := func(m Model) bool { return m.Name == name }
	if !slices.ContainsFunc(e.Report.Models, named) || e.moving() {
		return false
	}
	return e.Ordered == nil || slices.ContainsFunc(e.Ordered, named)
}

// moving tells whether the engine is ordered to a role that it doesn't report.
func (e Engine) moving() bool { return e.Ordered != nil && e.OrderedRole != e.Report.Role }

// serves tells whether the engine is a copy of a goal now.
func (e Engine) serves(g Goal) bool {
	return e.holds(g.Model) && g.fits(e.Report.Role) && !e.moving()
}

// coming tells whether the engine is ordered to become a copy of a goal, and isn't yet.
func (e Engine) coming(g Goal) bool {
	return !e.serves(g) && g.fits(e.OrderedRole) && slices.ContainsFunc(e.Ordered, g.equal)
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
