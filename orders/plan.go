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
)

// Step is one change to one engine. Models is the engine's whole desired set.
type Step struct {
	Engine Engine
	Models []Model
	// Fetch is the model whose weights must be fetched first; nil when the step
	// only drops something.
	Fetch *Model
}

// heatKey names a model in a region.
type heatKey struct{ region, model string }

// Planner plans the engines of one service. It keeps how long the load has been
// outside the band, and nothing else: a new holder starts with a fresh one.
type Planner struct {
	hot, cold map[heatKey]int
	extra     map[heatKey]int
}

// NewPlanner returns a planner that has seen no load yet.
func NewPlanner() *Planner {
	return &Planner{hot: map[heatKey]int{}, cold: map[heatKey]int{}, extra: map[heatKey]int{}}
}

// Plan returns the next steps, at most one per region and engine. served lists the
// models that callers may ask the service for: the last copy of such a model in a
// region is never dropped.
func (p *Planner) Plan(goals []Goal, served []string, engines []Engine) []Step {
	var steps []Step
	for _, region := range regions(engines) {
		local := inRegion(engines, region)
		for _, goal := range goals {
			p.heat(region, goal, local)
		}
		if loads := p.loads(region, goals, local); len(loads) > 0 {
			steps = append(steps, loads...)
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

func holders(m Model, engines []Engine) []Engine {
	var found []Engine
	for _, e := range engines {
		if e.holds(m) {
			found = append(found, e)
		}
	}
	return found
}

// heat moves the number of extra copies of a goal by the reported load.
func (p *Planner) heat(region string, goal Goal, engines []Engine) {
	key := heatKey{region, goal.Name}
	held := holders(goal.Model, engines)
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
	return min(goal.CopiesPerRegion+p.extra[heatKey{region, goal.Name}], len(engines))
}

// loads returns the steps that bring missing copies, one model per engine.
func (p *Planner) loads(region string, goals []Goal, engines []Engine) []Step {
	var steps []Step
	used := map[string]bool{}
	for _, goal := range goals {
		missing := p.want(region, goal, engines) - len(holders(goal.Model, engines)) - comingCount(goal.Model, engines)
		for _, e := range byLoad(engines) {
			if missing <= 0 {
				break
			}
			if used[e.Upstream.GetName()] || e.holds(goal.Model) || !e.free() {
				continue
			}
			used[e.Upstream.GetName()] = true
			missing--
			model := goal.Model
			steps = append(steps, Step{Engine: e, Models: append(slices.Clone(e.Report.Models), model), Fetch: &model})
		}
	}
	return steps
}

func comingCount(m Model, engines []Engine) int {
	count := 0
	for _, e := range engines {
		if e.coming(m) {
			count++
		}
	}
	return count
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
			rest := slices.Delete(slices.Clone(e.Report.Models), i, i+1)
			if p.surplus(region, m, goals, engines) && !lastCopy(m.Name, served, engines, e, rest) {
				return Step{Engine: e, Models: rest}, true
			}
		}
	}
	return Step{}, false
}

// surplus tells whether a copy of a model is above what is wanted. An old version
// is kept until the new one has all its copies, unless no engine has room for it.
func (p *Planner) surplus(region string, m Model, goals []Goal, engines []Engine) bool {
	for _, goal := range goals {
		held := len(holders(goal.Model, engines))
		wanted := p.want(region, goal, engines)
		if goal.equal(m) {
			return held > wanted
		}
		if goal.Name == m.Name {
			return held >= wanted || !slices.ContainsFunc(engines, Engine.free)
		}
	}
	return true
}

// lastCopy tells whether a model that callers may ask for would stand on no engine
// of the region, in whatever version, once the given engine held only rest.
// Dropping that copy would refuse requests that the region served a moment before.
func lastCopy(name string, served []string, engines []Engine, from Engine, rest []Model) bool {
	if !slices.Contains(served, name) {
		return false
	}
	from.Report.Models = rest
	for _, e := range engines {
		if e.Upstream == from.Upstream {
			e = from
		}
		if e.keeps(name) {
			return false
		}
	}
	return true
}
