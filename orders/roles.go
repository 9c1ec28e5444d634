package orders

import "slices"

// restPlans is for how many plans no engine leaves a role that one of its region was
// given. It bounds how often a load that swings between two roles moves engines.
const restPlans = unsurePlans

// move returns the change of one engine's role, for a goal that no engine of its role
// has room for. waiting tells that one may follow soon: nothing is dropped until then,
// since an engine that changes its role keeps its models.
func (p *Planner) move(region string, goals []Goal, served []string, engines []Engine) (step Step, found, waiting bool) {
	// One at a time: what an engine did in its former role falls to the others.
	if slices.ContainsFunc(engines, Engine.moving) {
		return Step{}, false, true
	}
	for _, goal := range goals {
		lacks := goal.Role != "" && p.missing(region, goal, engines) > 0
		key := keyOf(region, goal)
		p.lacking[key] = countIf(lacks, p.lacking[key])
		if !lacks {
			continue
		}
		engine, candidate := p.candidate(region, goal, goals, served, engines)
		if !candidate {
			continue
		}
		if p.lacking[key] < steadyPlans || p.plans <= unsurePlans {
			waiting = true
			continue
		}
		p.lacking[key] = 0
		p.gained[roleKey{region, goal.Role}] = p.plans
		return Step{Engine: engine, Models: append([]Model{}, engine.Report.Models...), Role: goal.Role}, true, false
	}
	return Step{}, false, waiting
}

// candidate returns the engine that may best be told to take a goal's role: one that
// holds the model already, or else the least loaded.
func (p *Planner) candidate(region string, goal Goal, goals []Goal, served []string, engines []Engine) (Engine, bool) {
	var best *Engine
	for _, e := range byLoad(engines) {
		if !p.movable(region, e, goal.Role, goals, served, engines) {
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

// movable tells whether an engine can take a role and isn't needed in its own: each of
// its copies must be above what is wanted there, and none the last one.
func (p *Planner) movable(region string, e Engine, role string, goals []Goal, served []string, engines []Engine) bool {
	if e.Ordered != nil || e.Report.Role == role || !slices.Contains(e.Report.Roles, role) {
		return false
	}
	if at, gained := p.gained[roleKey{region, e.Report.Role}]; gained && p.plans-at < restPlans {
		return false
	}
	for _, m := range e.Report.Models {
		if !p.surplus(region, e, m, goals, engines) || lastCopy(m.Name, e.Report.Role, goals, served, without(engines, e)) {
			return false
		}
	}
	return true
}
