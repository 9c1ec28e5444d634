package orders

import "slices"

// surplus tells whether an engine's copy of a model is above what is wanted. An old
// version is kept until the new one has all its copies, unless no engine has room for it.
func (p *Planner) surplus(region string, e Engine, m Model, goals []Goal, engines []Engine) bool {
	declared := slices.ContainsFunc(goals, func(g Goal) bool { return g.equal(m) })
	for _, goal := range goals {
		if goal.Name != m.Name {
			continue
		}
		held, wanted := len(holders(goal, engines)), p.want(region, goal, engines)
		if goal.equal(m) && e.serves(goal) && held <= wanted {
			return false
		}
		if !declared && held < wanted && slices.ContainsFunc(engines, Engine.free) {
			return false
		}
	}
	return true
}

// replace returns the engines with one of them as it would be after a step.
func replace(engines []Engine, after Engine) []Engine {
	replaced := slices.Clone(engines)
	for i := range replaced {
		if replaced[i].Upstream == after.Upstream {
			replaced[i] = after
		}
	}
	return replaced
}

// without returns the engines but for one.
func without(engines []Engine, e Engine) []Engine {
	return slices.DeleteFunc(slices.Clone(engines), func(o Engine) bool { return o.Upstream == e.Upstream })
}

// lastCopy tells whether a model that callers may ask for would stand on none of the
// engines in a role, in whatever version. Taking that copy away would refuse requests
// that the region served a moment before. A role that operators no longer want for the
// model may end once the region reports copies in each that they do want.
func lastCopy(name, role string, goals []Goal, served []string, engines []Engine) bool {
	if !slices.Contains(served, name) {
		return false
	}
	kept := func(g Goal) bool {
		return slices.ContainsFunc(engines, func(e Engine) bool { return e.keeps(name) && g.fits(e.Report.Role) })
	}
	if slices.ContainsFunc(engines, func(e Engine) bool { return e.keeps(name) && e.Report.Role == role }) {
		return false
	}
	declared := false
	for _, goal := range goals {
		if goal.Name != name {
			continue
		}
		declared = true
		if !kept(goal) {
			return true
		}
	}
	return !declared
}
