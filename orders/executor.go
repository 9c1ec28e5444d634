package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/lease"
	"lavenderpin.dev/lavenderpin/ports"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// LeaseName is the lease under which orders are given.
	LeaseName = "orders"

	roundInterval = 2 * time.Second
	// callTimeout bounds one report or order.
	callTimeout = 2 * time.Second
	// TakeoverDelay is how long a new holder leaves engines alone that ignore fencing
	// numbers: an order of the former holder, sent just before its lease ended,
	// arrives within callTimeout, and several times that is waited.
	TakeoverDelay = 10 * time.Second
	// patience is how long an engine may take to report an order as done before it
	// is planned for anew.
	patience = 2 * time.Minute
)

// Executor gives orders while this node holds the lease.
type Executor struct {
	Lessor  lease.Holder
	Client  Client
	Weights ports.Weights
	Config  func() *config.View
	Clock   clockwork.Clock
	Events  *event.Recorder

	epoch    uint64
	taken    time.Time
	planners map[string]*Planner
	ordered  map[string]outstanding
	// fetchAfter is when the weight store admits the next fetch.
	fetchAfter time.Time
}

// outstanding is an order that an engine hasn't reported as done.
type outstanding struct {
	models []Model
	role   string
	at     time.Time
}

// Run gives orders until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	e.Lessor.Campaign(LeaseName)
	periodic.Run(ctx, e.Clock, roundInterval, e.Reconcile)
}

// Reconcile looks at all engines once and gives the orders that are due.
func (e *Executor) Reconcile(ctx context.Context) {
	held, ok := e.Lessor.Held(LeaseName)
	if !ok {
		return
	}
	if held.Epoch != e.epoch {
		e.epoch = held.Epoch
		e.taken = e.Clock.Now()
		e.planners = map[string]*Planner{}
		e.ordered = map[string]outstanding{}
		e.fetchAfter = time.Time{}
	}
	view := e.Config()
	for _, service := range view.Services() {
		goals := Goals(service)
		if len(goals) == 0 {
			continue
		}
		planner := e.planners[service.GetName()]
		if planner == nil {
			planner = NewPlanner()
			e.planners[service.GetName()] = planner
		}
		engines := e.reports(ctx, view.Upstreams(service.GetName()))
		for _, step := range planner.Plan(goals, service.GetModels(), engines) {
			e.execute(ctx, step)
		}
	}
}

// reports asks the engines at once; those that don't answer are left out, so they
// get no orders and count as no copy.
func (e *Executor) reports(ctx context.Context, upstreams []*operatorv1.Upstream) []Engine {
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, callTimeout)
	defer cancel()
	answered := make([]*Report, len(upstreams))
	var wait sync.WaitGroup
	for i, u := range upstreams {
		if u.GetDraining() {
			continue
		}
		wait.Go(func() {
			if report, err := e.Client.Report(ctx, u); err == nil {
				answered[i] = &report
			}
		})
	}
	wait.Wait()
	var engines []Engine
	for i, report := range answered {
		if report != nil {
			engines = append(engines, e.withOrder(Engine{Upstream: upstreams[i], Report: *report}))
		}
	}
	return engines
}

// withOrder adds what the engine was ordered and doesn't report yet.
func (e *Executor) withOrder(engine Engine) Engine {
	name := engine.Upstream.GetName()
	order, found := e.ordered[name]
	if !found {
		return engine
	}
	done := sameModels(order.models, engine.Report.Models) && order.role == engine.Report.Role
	if done || e.Clock.Since(order.at) > patience {
		delete(e.ordered, name)
		return engine
	}
	engine.Ordered, engine.OrderedRole = order.models, order.role
	return engine
}

func sameModels(a, b []Model) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !slices.ContainsFunc(b, m.equal) {
			return false
		}
	}
	return true
}

// execute sends one order. The lease is asked again right before: a node that was
// paused after its plan would otherwise give an order after another took over. An
// engine that checks fencing numbers refuses such an order even when the pause
// falls between this check and the send; for the others see docs/design/06-orders.md.
func (e *Executor) execute(ctx context.Context, step Step) {
	engine := step.Engine.Upstream
	if !engine.GetChecksFencing() && e.Clock.Since(e.taken) < TakeoverDelay {
		return
	}
	if !e.fetch(ctx, step.Fetch) {
		return
	}
	held, ok := e.Lessor.Held(LeaseName)
	if !ok || held.Epoch != e.epoch {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, callTimeout)
	defer cancel()
	err := e.Client.Send(ctx, engine, Order{Fencing: held.Epoch, Models: step.Models, Role: step.Role})
	if err == nil || step.takesAway() && result.CodeOf(err) != result.NotHolder {
		e.ordered[engine.GetName()] = outstanding{models: step.Models, role: step.Role, at: e.Clock.Now()}
	}
	e.Events.Record(event.OrderGiven, "upstream", engine.GetName(), "lease", LeaseName, "epoch", held.Epoch,
		"models", names(step.Models), "role", step.Role, "code", uint32(result.CodeOf(err)))
}

// fetch asks the weight store for a model; false means not yet.
func (e *Executor) fetch(ctx context.Context, model *Model) bool {
	if model == nil {
		return true
	}
	if e.Clock.Now().Before(e.fetchAfter) {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, callTimeout)
	defer cancel()
	_, wait, err := e.Weights.Fetch(ctx, model.Name, model.Version)
	if err != nil {
		e.fetchAfter = e.Clock.Now().Add(roundInterval)
		return false
	}
	if wait > 0 {
		e.fetchAfter = e.Clock.Now().Add(wait)
		return false
	}
	return true
}

func names(models []Model) string {
	text := ""
	for i, m := range models {
		if i > 0 {
			text += ","
		}
		text += m.Name + "@" + m.Version
	}
	return text
}
