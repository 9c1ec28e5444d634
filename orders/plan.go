package orders

import (
	"cmp"
	"slices"
)

const (
	// highLoad and lowLoad bound the band in which the number of copies stays.
	highLoad = 0.85
	lowLoad  = 0.30
	// steadyPlans is how many plans in a row must see the load outside the band
	// before a copy is added or dropped: reports lag, and a model that comes and
	// goes would spend the weight store's rate on nothing.
	steadyPlans = 5
	// unsurePlans is for how many plans a new holder takes nothing away, neither a copy
	// nor an engine's role. An order of the former holder may be at work without a report
	// of it, or come late from a process that was stopped, at an engine that ignores
	// fencing numbers: what it takes away was safe by what stood then, and still is while
	// nobody else takes away more. Otherwise a region could lose its last copy to two
	// orders that were each right.
	unsurePlans = int(patience / roundInterval)
)

// Step is one change to one engine. Models is the engine's whole desired set and Role
// the role that it should have from then on.
type Step struct {
	Engine Engine
	Models []Model
	Role   string
	// Fetch is the model whose weights must be fetched first; nil when the step
	// only drops something.
	Fetch *Model
}

// takesAway tells whether the engine stops something that it does. The answer to such an
// order may be lost after the order was taken: the engine then counts as going, or the
// next plan could take away the copy that is left.
func (s Step) takesAway() bool { return s.Fetch == nil }

// heatKey names a model in a role in a region.
type heatKey struct{ region, model, role string }

// roleKey names a role in a region.
type roleKey struct{ region, role string }

func keyOf(region string, goal Goal) heatKey { return heatKey{region, goal.Name, goal.Role} }

// Planner plans the engines of one service. It keeps how long the load has been
// outside the band and a role has lacked engines, and nothing else: a new holder starts
// with a fresh one.
type Planner struct {
	hot, cold map[heatKey]int
	extra     map[heatKey]int
	lacking   map[heatKey]int
	// gained is in which plan an engine was last told to take a role.
	gained map[roleKey]int
	plans  int
}

// NewPlanner returns a planner that has seen no load yet.
func NewPlanner() *Planner {
	return &Planner{hot: map[heatKey]int{}, cold: map[heatKey]int{}, extra: map[heatKey]int{},
		lacking: map[heatKey]int{}, gained: map[roleKey]int{}}
}

// Plan returns the next steps, at most one per region and engine. served lists the
// models that callers may ask the service for: the last copy of such a model in a
// region is never dropped.
func (p *Planner) Plan(goals []Goal, served []string, engines []Engine) []Step {
	var steps []Step
	p.plans++
	for _, region := range regions(engines) {
		local := inRegion(engines, region)
		for _, goal := range goals {
			p.heat(region, goal, local)
		}
		if loads := p.loads(region, goals, local); len(loads) > 0 {
			steps = append(steps, loads...)
			continue
		}
		if move, found, waiting := p.move(region, goals, served, local); found || waiting {
			if found {
				steps = append(steps, move)
			}
			continue
		}
		if p.plans <= unsurePlans {
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

func holders(goal Goal, engines []Engine) []Engine {
	var found []Engine
	for _, e := range engines {
		if e.serves(goal) {
			found = append(found, e)
		}
	}
	return found
}

// heat moves the number of extra copies of a goal by the reported load.
func (p *Planner) heat(region string, goal Goal, engines []Engine) {
	key := keyOf(region, goal)
	held := holders(goal, engines)
	if len(held) == 0 {
		return
	}
	total := 0.0
	for _, e := range held {
		total += e.load()
	}
	mean := total / float64(len(held))
	p.hot[key] = countIf(mean > highLoad, p.hot[key])
	p.cold[key] = countIf(mean < lowLoad, p.cold[key])
	switch {
	case p.hot[key] >= steadyPlans && p.want(region, goal, engines) < len(engines):
		p.extra[key]++
		p.hot[key] = 0
	case p.cold[key] >= steadyPlans && p.extra[key] > 0:
		p.extra[key]--
		p.cold[key] = 0
	}
}

func countIf(outside bool, before int) int {
	if outside {
		return before + 1
	}
	return 0
}

// want is how many copies of a goal a region should hold now.
func (p *Planner) want(region string, goal Goal, engines []Engine) int {
	return min(goal.CopiesPerRegion+p.extra[keyOf(region, goal)], len(engines))
}

// loads returns the steps that bring missing copies, one model per engine.
func (p *Planner) loads(region string, goals []Goal, engines []Engine) []Step {
	var steps []Step
	used := map[string]bool{}
	for _, goal := range goals {
		missing := p.missing(region, goal, engines)
		for _, e := range byLoad(engines) {
			if missing <= 0 {
				break
			}
			if used[e.Upstream.GetName()] || e.holds(goal.Model) || !e.free() || !goal.fits(e.Report.Role) {
				continue
			}
			used[e.Upstream.GetName()] = true
			missing--
			model := goal.Model
			steps = append(steps, Step{Engine: e, Models: append(slices.Clone(e.Report.Models), model), Role: e.Report.Role, Fetch: &model})
		}
	}
	return steps
}

// missing is how many copies of a goal a region has yet to be ordered.
func (p *Planner) missing(region string, goal Goal, engines []Engine) int {
	missing := p.want(region, goal, engines) - len(holders(goal, engines))
	for _, e := range engines {
		if e.coming(goal) {
			missing--
		}
	}
	return missing
}

func byLoad(engines []Engine) []Engine {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b Engine) int { return cmp.Compare(a.load(), b.load()) })
	return sorted
}

// drop returns one model to drop in the region: one that nothing wants any more, or
// a copy above the number wanted. It is asked only when no load can go ahead: either
// all goals are met, or the engines are full and room must be made.
func (p *Planner) drop(region string, goals []Goal, served []string, engines []Engine) (Step, bool) {
	for _, e := range byLoad(engines) {
		if e.Ordered != nil {
			continue
		}
		for i, m := range e.Report.Models {
			after := e
			after.Report.Models = slices.Delete(slices.Clone(e.Report.Models), i, i+1)
			if p.surplus(region, e, m, goals, engines) && !lastCopy(m.Name, e.Report.Role, goals, served, replace(engines, after)) {
				return Step{Engine: e, Models: after.Report.Models, Role: e.Report.Role}, true
			}
		}
	}
	return Step{}, false
}
