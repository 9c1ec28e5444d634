package orders

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/fold"
)

var allRoles = []string{"mixed", "prefill", "decode"}

func mixedIn(region, name string, checks bool) *fakeEngine {
	e := engineIn(region, name, checks, newModel)
	e.report.Role, e.report.Roles = "mixed", allRoles
	return e
}

// rolesOf folds a service that wants one copy of the model in each of the roles.
func rolesOf(t *testing.T, engines *fakeEngines, roles ...string) func() *config.View {
	t.Helper()
	service := &operatorv1.Service{Name: "chat", Kind: operatorv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{newModel.Name}}
	for _, role := range roles {
		service.Desired = append(service.Desired, &operatorv1.DesiredModel{Model: newModel.Name, Version: newModel.Version, CopiesPerRegion: 1, Role: role})
	}
	changes := []*operatorv1.Change{{Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Service{Service: service}}}}
	for _, u := range engines.upstreams() {
		changes = append(changes, &operatorv1.Change{Resource: &operatorv1.Resource{Kind: &operatorv1.Resource_Upstream{Upstream: u}}})
	}
	state := config.NewState(nil)
	verdict, _ := state.Apply(fold.Position{Offset: 1}, &recordv1.Entry{Body: &recordv1.Entry_Config{
		Config: &recordv1.ConfigChange{ChangeId: "1", Changes: changes}}})
	is.New(t).True(verdict.OK())
	return state.View
}

func (f *fakeEngines) inRole(region, role string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, e := range f.engines {
		if e.upstream.GetRegion() == region && e.report.Role == role && (Engine{Report: e.report}).holds(newModel) {
			count++
		}
	}
	return count
}

func mixedFleet(checks bool) *fakeEngines {
	engines := newFakeEngines(
		mixedIn("east", "east-1", checks), mixedIn("east", "east-2", checks), mixedIn("east", "east-3", checks),
		mixedIn("west", "west-1", checks), mixedIn("west", "west-2", checks))
	engines.watched = newModel.Name
	return engines
}

func checkRoles(is *is.I, engines *fakeEngines) {
	is.Helper()
	is.Equal(engines.inRole("east", "prefill"), 1)
	is.Equal(engines.inRole("east", "decode"), 1)
	is.Equal(engines.inRole("east", "mixed"), 0) // no longer wanted, so dropped last
	// Two engines can't be moved one after the other without a gap.
	is.Equal(engines.inRole("west", "mixed"), 1)
	is.Equal(engines.violations, nil)
}

// Operators split a service into prefill and decode. The engines change their roles one
// at a time, and while they do the region always has one that serves by itself or both
// of the new roles; a region with too few engines for that keeps its last mixed one.
func TestRoleChangeKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := mixedFleet(true)
		executor := newExecutor(&fakeLessor{epoch: 1}, engines, rolesOf(t, engines, "prefill", "decode"), time.Second)
		go executor.Run(t.Context())
		time.Sleep(10 * time.Minute)
		checkRoles(is, engines)
		before := engines.sent()
		time.Sleep(30 * time.Minute)
		is.Equal(engines.sent(), before) // nothing moves to and fro
	})
}

// The node that changes roles dies at each of its orders, before or after the order
// arrives, and another takes over while the engine is still changing and reports its
// old role. A region that lost its only serving engine to that would refuse callers.
func TestRoleChangeSurvivesHolderCrash(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for step := 1; step <= 4; step++ {
			for _, arrives := range []bool{true, false} {
				t.Run(fmt.Sprintf("checks=%v/step=%d/arrives=%v", checks, step, arrives), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { dieAtRoleChange(t, checks, step, arrives) })
				})
			}
		}
	}
}

func dieAtRoleChange(t *testing.T, checks bool, step int, arrives bool) {
	is := is.New(t)
	engines := mixedFleet(checks)
	engines.loadTime = 50 * time.Second
	view := rolesOf(t, engines, "prefill", "decode")
	ctx, die := context.WithCancel(t.Context())
	engines.onSend = func(n int) bool {
		if n != step {
			return true
		}
		die()
		return arrives
	}
	go newExecutor(&fakeLessor{epoch: 1}, engines, view, time.Second).Run(ctx)
	<-ctx.Done()
	go newExecutor(&fakeLessor{epoch: 2}, engines, view, time.Second).Run(t.Context())
	time.Sleep(30 * time.Minute)
	checkRoles(is, engines)
}

// The answer to an order that changes a role is lost, and the engine is at it while it
// still reports the old role. It must not count as serving there, or the next order
// takes the engine that is left.
func TestRoleChangeWithLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := mixedFleet(true)
		engines.loadTime = 90 * time.Second
		client := &loseAnswers{fakeEngines: engines}
		executor := newExecutor(&fakeLessor{epoch: 1}, engines, rolesOf(t, engines, "prefill", "decode"), time.Second)
		executor.Client = client
		go executor.Run(t.Context())
		time.Sleep(40 * time.Minute)
		checkRoles(is, engines)
	})
}

// loseAnswers delivers every order and tells that it failed.
type loseAnswers struct{ *fakeEngines }

func (l *loseAnswers) Send(ctx context.Context, u *operatorv1.Upstream, order Order) error {
	if err := l.fakeEngines.Send(ctx, u, order); err != nil {
		return err
	}
	return context.DeadlineExceeded
}

// An engine misses a few reports. Were another told to take its role at once, the two
// would change places, and drop what they cached, at every hiccup.
func TestRoleChangesOnlyForSustainedShortage(t *testing.T) {
	is := is.New(t)
	goals := []Goal{{Model: newModel, CopiesPerRegion: 1, Role: "decode"}}
	decode, spare := planned(newModel), planned(newModel)
	decode.Report.Role, decode.Report.Roles = "decode", allRoles
	spare.Report.Role, spare.Report.Roles = "mixed", allRoles
	spare.Upstream.Name = "f"
	served := []string{"small"}
	p := NewPlanner()
	for range unsurePlans {
		p.Plan(goals, nil, []Engine{decode, spare})
	}
	spares := []Engine{spare, spare}
	other := planned(newModel)
	other.Upstream.Name, other.Report.Role = "g", "mixed"
	spares[1] = other
	for range steadyPlans - 1 {
		is.Equal(len(p.Plan(goals, served, spares)), 0)
	}
	steps := p.Plan(goals, served, spares)
	is.Equal(len(steps), 1)
	is.Equal(steps[0].Role, "decode")
}

// The load swings between two roles of a service. Engines that followed each swing would
// spend their time changing, so none leaves a role for a while after it got one more.
func TestRoleChangeCooldown(t *testing.T) {
	is := is.New(t)
	goals := []Goal{{Model: newModel, CopiesPerRegion: 1, Role: "prefill"}, {Model: newModel, CopiesPerRegion: 1, Role: "decode"}}
	engines := make([]Engine, 3)
	for i, role := range []string{"prefill", "decode", "decode"} {
		engines[i] = planned(newModel)
		engines[i].Upstream.Name = fmt.Sprint("e", i)
		engines[i].Report.Role, engines[i].Report.Roles = role, allRoles
	}
	p := NewPlanner()
	planUnder := func(busy string) []Step {
		for i := range engines {
			engines[i].Report.InFlight = 0
			if engines[i].Report.Role == busy {
				engines[i].Report.InFlight = engines[i].Report.Slots
			}
		}
		return p.Plan(goals, []string{"small"}, engines)
	}
	untilMove := func(busy string) int {
		for plans := 1; plans < 10*restPlans; plans++ {
			for _, step := range planUnder(busy) {
				if step.Role != step.Engine.Report.Role {
					for i := range engines {
						if engines[i].Upstream == step.Engine.Upstream {
							engines[i].Report.Role = step.Role
						}
					}
					return plans
				}
			}
		}
		return 0
	}
	is.True(untilMove("prefill") > unsurePlans)
	is.Equal(engines[1].Report.Role, "prefill")
	is.True(untilMove("decode") >= restPlans)
}

// Whatever engines report and operators want, a change of roles or of models leaves a
// region that served a model whole still serving it whole.
func TestRolePlanIsSafeForAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []Engine
		for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
			e := planned(rapid.SliceOfNDistinct(rapid.SampledFrom([]Model{oldModel, newModel}), 0, 2, func(m Model) string { return m.Version }).Draw(t, "models")...)
			e.Upstream.Name = string(rune('a' + i))
			e.Report.Role, e.Report.Roles = rapid.SampledFrom(allRoles).Draw(t, "role"), allRoles
			e.Report.InFlight = rapid.IntRange(0, 10).Draw(t, "in flight")
			engines = append(engines, e)
		}
		var goals []Goal
		for _, role := range rapid.SampledFrom([][]string{{"mixed"}, {"prefill", "decode"}, allRoles}).Draw(t, "wanted") {
			goals = append(goals, Goal{Model: newModel, CopiesPerRegion: rapid.IntRange(1, 3).Draw(t, "copies"), Role: role})
		}
		p := NewPlanner()
		for range unsurePlans + 2*steadyPlans {
			for _, step := range p.Plan(goals, []string{"small"}, engines) {
				if step.takesAway() && whole(engines) && !whole(during(step, engines)) {
					t.Fatalf("%s to %s with %v breaks the region", step.Engine.Upstream.GetName(), step.Role, step.Models)
				}
			}
		}
	})
}

// whole tells whether the engines serve the model among them.
func whole(engines []Engine) bool {
	roles := map[string]bool{}
	for _, e := range engines {
		roles[e.Report.Role] = roles[e.Report.Role] || e.keeps("small")
	}
	return roles["mixed"] || roles["prefill"] && roles["decode"]
}

// during returns the engines while a step is under way: one that changes its role
// serves in none.
func during(step Step, engines []Engine) []Engine {
	var left []Engine
	for _, e := range engines {
		if e.Upstream == step.Engine.Upstream {
			e.Report.Models = step.Models
			if e.Report.Role != step.Role {
				continue
			}
		}
		left = append(left, e)
	}
	return left
}
