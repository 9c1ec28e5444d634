package orders

import (
	"slices"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

// Report is an engine's report of its state. It lags behind the actual state.
type Report struct {
	Models []Model `json:"models"`
	// Capacity is how many models the engine can hold.
	Capacity int `json:"capacity"`
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	// Fencing is the highest fencing number seen, for engines that check it.
	Fencing uint64 `json:"fencing"`
	// Role is the engine's role for its models, such as "prefill", and Roles are those that it
	// can be ordered to take; both are empty for engines without roles.
	Role  string   `json:"role,omitempty"`
	Roles []string `json:"roles,omitempty"`
}

// Engine is an upstream together with its last report.
type Engine struct {
	Upstream *operatorv1.Upstream
	Report   Report
	// Ordered is the set of models last ordered, until the engine reports it; nil if no order
	// is pending. Without it a lagging report would cause the same weights to be fetched again
	// in every round.
	Ordered []Model
	// OrderedRole is the role last ordered; valid if Ordered isn't nil.
	OrderedRole string
}

// retains reports whether the engine holds some version of a model in its reported role, with
// no pending order to drop the model or change the role.
func (e Engine) retains(name string) bool {
	named := func(m Model) bool { return m.Name == name }
	if !slices.ContainsFunc(e.Report.Models, named) || e.changingRole() {
		return false
	}
	return e.Ordered == nil || slices.ContainsFunc(e.Ordered, named)
}

// changingRole reports whether the engine has a pending order to take another role than it
// reports.
func (e Engine) changingRole() bool { return e.Ordered != nil && e.OrderedRole != e.Report.Role }

// serves reports whether the engine is a copy for a goal now.
func (e Engine) serves(g Goal) bool {
	return e.holds(g.Model) && g.acceptsRole(e.Report.Role) && !e.changingRole()
}

// becoming reports whether the engine isn't a copy for a goal yet but has a pending order that
// makes it one.
func (e Engine) becoming(g Goal) bool {
	return !e.serves(g) && g.acceptsRole(e.OrderedRole) && slices.ContainsFunc(e.Ordered, g.equal)
}

func (e Engine) holds(m Model) bool {
	return slices.ContainsFunc(e.Report.Models, m.equal)
}

// hasRoom reports whether the engine can take one more model now.
func (e Engine) hasRoom() bool { return e.Ordered == nil && len(e.Report.Models) < e.Report.Capacity }

// load returns the fraction of the engine's slots in use.
func (e Engine) load() float64 {
	if e.Report.Slots == 0 {
		return 0
	}
	return float64(e.Report.InFlight) / float64(e.Report.Slots)
}
