package orders

import "slices"

// isSurplus reports whether an engine's copy of a model exceeds the wanted number. An old
// version is kept until the new one has all its copies, unless no engine has room for it.
func (p *Planner) isSurplus(region string, e Engine, m Model, goals []Goal, engines []Engine) bool {
	declared := slices.ContainsFunc(goals, func(g Goal) bool { return g.equal(m) })
	for _, goal := range goals {
		if goal.Name != m.Name {
			continue
		}
		servingCopies, wanted := len(serving(goal, engines)), p.wantedCopies(region, goal, engines)
		if goal.equal(m) && e.serves(goal) && servingCopies <= wanted {
			return false
		}
		if !declared && servingCopies < wanted && slices.ContainsFunc(engines, Engine.hasRoom) {
			return false
		}
	}
	return true
}

// withReplaced returns the engines with one of them replaced by its state after a step.
func withReplaced(engines []Engine, after Engine) []Engine {
	replaced := slices.Clone(engines)
	for i := range replaced {
		if replaced[i].Upstream == after.Upstream {
			replaced[i] = after
		}
	}
	return replaced
}

// without returns all engines except e.
func without(engines []Engine, e Engine) []Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(o Engine) bool { return o.Upstream == e.Upstream })
}

// removesLastCopy reports whether a model that callers may request would be left on none of the
// engines in a role, in any version. Removing that copy would cause requests to be refused that
// the region was serving until then. A role that operators no longer want for the model may end
// once the region reports a copy in each role that they do want.
func removesLastCopy(model, role string, goals []Goal, served []string, engines []Engine) bool {
	if !slices.Contains(served, model) {
		return false
	}
	retained := func(g Goal) bool {
		return slices.ContainsFunc(engines, func(e Engine) bool { return e.retains(model) && g.acceptsRole(e.Report.Role) })
	}
	if slices.ContainsFunc(engines, func(e Engine) bool { return e.retains(model) && e.Report.Role == role }) {
		return false
	}
	declared := false
	for _, goal := range goals {
		if goal.Name != model {
			continue
		}
		declared = true
		if !retained(goal) {
			return true
		}
	}
	return !declared
}
