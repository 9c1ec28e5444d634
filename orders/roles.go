package orders

import "slices"

// roleCooldownPlans is for how many plans no engine leaves a role after an engine of the same
// region was assigned to it. It bounds how often a load that alternates between two roles moves
// engines.
const roleCooldownPlans = settlingPlans

// roleChange returns the change of one engine's role, for a goal that no engine in its role
// has room for. waiting reports that one may follow soon: nothing is dropped until then, since
// an engine that changes its role keeps its models.
func (p *Planner) roleChange(region string, goals []Goal, served []string, engines []Engine) (step Step, found, waiting bool) {
	// One at a time: the load of an engine's former role falls to the others.
	if slices.ContainsFunc(engines, Engine.changingRole) {
		return Step{}, false, true
	}
	for _, goal := range goals {
		short := goal.Role != "" && p.missingCopies(region, goal, engines) > 0
		key := newGoalKey(region, goal)
		p.shortagePlans[key] = countConsecutive(short, p.shortagePlans[key])
		if !short {
			continue
		}
		engine, exists := p.roleCandidate(region, goal, goals, served, engines)
		if !exists {
			continue
		}
		if p.shortagePlans[key] < sustainedPlans || p.planCount <= settlingPlans {
			waiting = true
			continue
		}
		p.shortagePlans[key] = 0
		p.roleAssignedAt[roleKey{region, goal.Role}] = p.planCount
		return Step{Engine: engine, Models: append([]Model{}, engine.Report.Models...), Role: goal.Role}, true, false
	}
	return Step{}, false, waiting
}

// roleCandidate returns the engine best suited to take a goal's role: one that already holds
// the model, otherwise the least loaded.
func (p *Planner) roleCandidate(region string, goal Goal, goals []Goal, served []string, engines []Engine) (Engine, bool) {
	var best *Engine
	for _, e := range byLoad(engines) {
		if !p.canChangeRole(region, e, goal.Role, goals, served, engines) {
			continue
		}
		if e.holds(goal.Model) {
			return e, true
		}
		if best == nil && len(e.Report.Models) < e.Report.Capacity {
			best = &e
		}
	}
	if best == nil {
		return Engine{}, false
	}
	return *best, true
}

// canChangeRole reports whether an engine can take a role and isn't needed in its current one:
// each of its copies must exceed the wanted number there, and none may be the last one.
func (p *Planner) canChangeRole(region string, e Engine, role string, goals []Goal, served []string, engines []Engine) bool {
	if e.Ordered != nil || e.Report.Role == role || !slices.Contains(e.Report.Roles, role) {
		return false
	}
	if assignedAt, assigned := p.roleAssignedAt[roleKey{region, e.Report.Role}]; assigned && p.planCount-assignedAt < roleCooldownPlans {
		return false
	}
	for _, m := range e.Report.Models {
		if !p.isSurplus(region, e, m, goals, engines) || removesLastCopy(m.Name, e.Report.Role, goals, served, without(engines, e)) {
			return false
		}
	}
	return true
}
