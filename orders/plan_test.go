package orders

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func planned(models ...Model) Engine {
	f := engineIn("east", "e", true, models...)
	return Engine{Upstream: f.upstream, Report: f.report}
}

// One hot report must not load another copy: reports lag, and a short burst would
// be paid for with a fetch of the whole model.
func TestOnlySustainedLoadAddsACopy(t *testing.T) {
	is := is.New(t)
	goals := []Goal{{Model: newModel, CopiesPerRegion: 1}}
	hot, idle := planned(newModel), planned()
	hot.Report.InFlight = hot.Report.Slots
	idle.Upstream.Name = "f"
	p := NewPlanner()
	for range steadyPlans - 1 {
		is.Equal(len(p.Plan(goals, []string{"small"}, []Engine{hot, idle})), 0)
	}
	steps := p.Plan(goals, []string{"small"}, []Engine{hot, idle})
	is.Equal(len(steps), 1)
	is.Equal(steps[0].Engine.Upstream.GetName(), "f")
}

// Whatever engines report, a plan never exceeds an engine's capacity and never
// takes a region's last copy of a model that callers may ask for.
func TestPlanIsSafeForAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []Model{oldModel, newModel, {Name: "large", Version: "1"}, {Name: "gone", Version: "1"}}
		var engines []Engine
		for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
			e := planned(rapid.SliceOfNDistinct(rapid.SampledFrom(models), 0, 2, func(m Model) string { return m.Name + m.Version }).Draw(t, "models")...)
			e.Upstream.Name = string(rune('a' + i))
			e.Upstream.Region = rapid.SampledFrom([]string{"east", "west"}).Draw(t, "region")
			e.Report.InFlight = rapid.IntRange(0, 10).Draw(t, "in flight")
			engines = append(engines, e)
		}
		goals := []Goal{{Model: newModel, CopiesPerRegion: rapid.IntRange(1, 3).Draw(t, "copies")}, {Model: Model{Name: "large", Version: "1"}, CopiesPerRegion: 1}}
		served := []string{"small", "large"}
		p := NewPlanner()
		for range unsurePlans {
			p.Plan(goals, served, engines) // a fresh planner takes nothing away
		}
		for _, step := range p.Plan(goals, served, engines) {
			if len(step.Models) > step.Engine.Report.Capacity {
				t.Fatalf("%d models on an engine for %d", len(step.Models), step.Engine.Report.Capacity)
			}
			for _, name := range served {
				if lost(step, name, engines) {
					t.Fatalf("the last copy of %s in %s goes", name, step.Engine.Upstream.GetRegion())
				}
			}
		}
	})
}

// lost tells whether a step leaves a region without a model that it had.
func lost(step Step, name string, engines []Engine) bool {
	before, after := 0, 0
	for _, e := range inRegion(engines, step.Engine.Upstream.GetRegion()) {
		if e.keeps(name) {
			before++
		}
		if e.Upstream.GetName() == step.Engine.Upstream.GetName() {
			e.Report.Models = step.Models
		}
		if e.keeps(name) {
			after++
		}
	}
	return before > 0 && after == 0
}
