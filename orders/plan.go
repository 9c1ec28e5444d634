package orders

import (
	"cmp"
	"slices"
)

const (
	// highLoad and lowLoad bound the load range in which the number of copies doesn't change.
	highLoad = 0.85
	lowLoad  = 0.30
	// sustainedPlans is how many consecutive plans must see the load outside the range before a
	// copy is added or dropped: reports lag, and a model that is repeatedly loaded and dropped
	// would waste the weight store's rate limit.
	sustainedPlans = 5
	// settlingPlans is for how many plans a new holder removes nothing, neither a copy nor an
	// engine's role. An order of the former holder may be in progress without being reported,
	// or arrive late from a paused process at an engine that ignores fencing numbers. What that
	// order removes was safe in the state it was planned for, and stays safe while nobody else
	// removes more. Otherwise a region could lose its last copy to two orders that were each
	// correct.
	settlingPlans = int(orderTimeout / reconcileInterval)
)

// Step is one change to one engine. Models is the engine's complete set of models and Role the
// role that it should have after the change.
type Step struct {
	Engine Engine
	Models []Model
	Role   string
	// Fetch is the model whose weights must be fetched first; nil if the step loads no model.
	Fetch *Model
}

// stopsServing reports whether the engine stops something that it does. The response to such an
// order may be lost after the order was accepted: the engine must then count as lost, or the
// next plan could remove the remaining copy.
func (s Step) stopsServing() bool { return s.Fetch == nil }

// goalKey identifies a model in a role in a region.
type goalKey struct{ region, model, role string }

// roleKey identifies a role in a region.
type roleKey struct{ region, role string }

func newGoalKey(region string, goal Goal) goalKey { return goalKey{region, goal.Name, goal.Role} }

// Planner plans the engines of one service. Its only state is how long the load has been out of
// range and roles have lacked engines, and what was decided from that; a new lease holder
// starts with a new planner.
type Planner struct {
	highLoadPlans, lowLoadPlans map[goalKey]int
	extraCopies                 map[goalKey]int
	shortagePlans               map[goalKey]int
	// roleAssignedAt is the plan in which an engine was last ordered to take a role.
	roleAssignedAt map[roleKey]int
	planCount      int
}

// NewPlanner returns a planner that has observed no load yet.
func NewPlanner() *Planner {
	return &Planner{highLoadPlans: map[goalKey]int{}, lowLoadPlans: map[goalKey]int{}, extraCopies: map[goalKey]int{},
		shortagePlans: map[goalKey]int{}, roleAssignedAt: map[roleKey]int{}}
}

// Plan returns the next steps, at most one per region and engine. served lists the models that
// callers may request from the service: the last copy of such a model in a region is never
// dropped.
func (p *Planner) Plan(goals []Goal, served []string, engines []Engine) []Step {
	var steps []Step
	p.planCount++
	for _, region := range regions(engines) {
		local := inRegion(engines, region)
		for _, goal := range goals {
			p.adjustCopies(region, goal, local)
		}
		if loads := p.loads(region, goals, local); len(loads) > 0 {
			steps = append(steps, loads...)
			continue
		}
		if roleChange, found, waiting := p.roleChange(region, goals, served, local); found || waiting {
			if found {
				steps = append(steps, roleChange)
			}
			continue
		}
		if p.planCount <= settlingPlans {
			continue
		}
		if drop, found := p.drop(region, goals, served, local); found {
			steps = append(steps, drop)
		}
	}
	return steps
}

func regions(engines []Engine) []string {
	var names []string
	for _, e := range engines {
		names = append(names, e.Upstream.GetRegion())
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func inRegion(engines []Engine, region string) []Engine {
	var local []Engine
	for _, e := range engines {
		if e.Upstream.GetRegion() == region {
			local = append(local, e)
		}
	}
	slices.SortFunc(local, func(a, b Engine) int { return cmp.Compare(a.Upstream.GetName(), b.Upstream.GetName()) })
	return local
}

func serving(goal Goal, engines []Engine) []Engine {
	var found []Engine
	for _, e := range engines {
		if e.serves(goal) {
			found = append(found, e)
		}
	}
	return found
}

// adjustCopies changes the number of extra copies for a goal according to the reported load.
func (p *Planner) adjustCopies(region string, goal Goal, engines []Engine) {
	key := newGoalKey(region, goal)
	servingEngines := serving(goal, engines)
	if len(servingEngines) == 0 {
		return
	}
	total := 0.0
	for _, e := range servingEngines {
		total += e.load()
	}
	mean := total / float64(len(servingEngines))
	p.highLoadPlans[key] = countConsecutive(mean > highLoad, p.highLoadPlans[key])
	p.lowLoadPlans[key] = countConsecutive(mean < lowLoad, p.lowLoadPlans[key])
	switch {
	case p.highLoadPlans[key] >= sustainedPlans && p.wantedCopies(region, goal, engines) < len(engines):
		p.extraCopies[key]++
		p.highLoadPlans[key] = 0
	case p.lowLoadPlans[key] >= sustainedPlans && p.extraCopies[key] > 0:
		p.extraCopies[key]--
		p.lowLoadPlans[key] = 0
	}
}

func countConsecutive(holds bool, count int) int {
	if holds {
		return count + 1
	}
	return 0
}

// wantedCopies returns how many copies for a goal a region should hold now.
func (p *Planner) wantedCopies(region string, goal Goal, engines []Engine) int {
	return min(goal.CopiesPerRegion+p.extraCopies[newGoalKey(region, goal)], len(engines))
}

// loads returns the steps that add missing copies, one model per engine.
func (p *Planner) loads(region string, goals []Goal, engines []Engine) []Step {
	var steps []Step
	used := map[string]bool{}
	for _, goal := range goals {
		missingCopies := p.missingCopies(region, goal, engines)
		for _, e := range byLoad(engines) {
			if missingCopies <= 0 {
				break
			}
			if used[e.Upstream.GetName()] || e.holds(goal.Model) || !e.hasRoom() || !goal.acceptsRole(e.Report.Role) {
				continue
			}
			used[e.Upstream.GetName()] = true
			missingCopies--
			model := goal.Model
			steps = append(steps, Step{Engine: e, Models: append(slices.Clone(e.Report.Models), model), Role: e.Report.Role, Fetch: &model})
		}
	}
	return steps
}

// missingCopies returns how many copies for a goal are neither held nor ordered in a region.
func (p *Planner) missingCopies(region string, goal Goal, engines []Engine) int {
	missingCopies := p.wantedCopies(region, goal, engines) - len(serving(goal, engines))
	for _, e := range engines {
		if e.becoming(goal) {
			missingCopies--
		}
	}
	return missingCopies
}

func byLoad(engines []Engine) []Engine {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b Engine) int { return cmp.Compare(a.load(), b.load()) })
	return sorted
}

// drop returns a step that drops one model in the region: one that no goal wants any more,
// or a copy above the wanted number. It is called only when no load is possible: either all
// goals are met, or the engines are full and room must be made.
func (p *Planner) drop(region string, goals []Goal, served []string, engines []Engine) (Step, bool) {
	for _, e := range byLoad(engines) {
		if e.Ordered != nil {
			continue
		}
		for i, m := range e.Report.Models {
			after := e
			after.Report.Models = slices.Delete(slices.Clone(e.Report.Models), i, i+1)
			if p.isSurplus(region, e, m, goals, engines) && !removesLastCopy(m.Name, e.Report.Role, goals, served, withReplaced(engines, after)) {
				return Step{Engine: e, Models: after.Report.Models, Role: e.Report.Role}, true
			}
		}
	}
	return Step{}, false
}
