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

	reconcileInterval = 2 * time.Second
	// callTimeout bounds one report or order.
	callTimeout = 2 * time.Second
	// TakeoverDelay is how long a new lease holder sends nothing to engines that ignore fencing
	// numbers: an order of the former holder, sent just before its lease ended, arrives within
	// callTimeout, and the delay is several times that.
	TakeoverDelay = 10 * time.Second
	// orderTimeout is how long an engine may take to report an order as done. After that it is
	// planned for again.
	orderTimeout = 2 * time.Minute
)

// Executor gives orders while this node holds the lease.
type Executor struct {
	LeaseHolder lease.Holder
	Client      Client
	Weights     ports.WeightStore
	Config      func() *config.View
	Clock       clockwork.Clock
	Events      *event.Recorder

	epoch        uint64
	leaseTakenAt time.Time
	planners     map[string]*Planner
	pending      map[string]pendingOrder
	// nextFetchAt is when the weight store accepts the next fetch.
	nextFetchAt time.Time
}

// pendingOrder is an order that an engine hasn't reported as done.
type pendingOrder struct {
	models    []Model
	role      string
	orderedAt time.Time
}

// Run gives orders until ctx ends.
func (e *Executor) Run(ctx context.Context) {
	e.LeaseHolder.Campaign(LeaseName)
	periodic.Run(ctx, e.Clock, reconcileInterval, e.Reconcile)
}

// Reconcile checks all engines once and gives the orders that are due.
func (e *Executor) Reconcile(ctx context.Context) {
	heldLease, ok := e.LeaseHolder.Held(LeaseName)
	if !ok {
		return
	}
	if heldLease.Epoch != e.epoch {
		e.epoch = heldLease.Epoch
		e.leaseTakenAt = e.Clock.Now()
		e.planners = map[string]*Planner{}
		e.pending = map[string]pendingOrder{}
		e.nextFetchAt = time.Time{}
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
		engines := e.collectReports(ctx, view.Upstreams(service.GetName()))
		for _, step := range planner.Plan(goals, service.GetModels(), engines) {
			e.execute(ctx, step)
		}
	}
}

// collectReports asks all engines concurrently. Engines that don't respond are left out, so
// they get no orders and don't count as copies.
func (e *Executor) collectReports(ctx context.Context, upstreams []*operatorv1.Upstream) []Engine {
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, callTimeout)
	defer cancel()
	reports := make([]*Report, len(upstreams))
	var wg sync.WaitGroup
	for i, u := range upstreams {
		if u.GetDraining() {
			continue
		}
		wg.Go(func() {
			if report, err := e.Client.Report(ctx, u); err == nil {
				reports[i] = &report
			}
		})
	}
	wg.Wait()
	var engines []Engine
	for i, report := range reports {
		if report != nil {
			engines = append(engines, e.withPendingOrder(Engine{Upstream: upstreams[i], Report: *report}))
		}
	}
	return engines
}

// withPendingOrder adds the order that the engine hasn't reported as done.
func (e *Executor) withPendingOrder(engine Engine) Engine {
	name := engine.Upstream.GetName()
	order, found := e.pending[name]
	if !found {
		return engine
	}
	done := sameModels(order.models, engine.Report.Models) && order.role == engine.Report.Role
	if done || e.Clock.Since(order.orderedAt) > orderTimeout {
		delete(e.pending, name)
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

// execute sends one order. It checks the lease again immediately before: a node that was paused
// after planning would otherwise give an order after another node took over. An engine that
// checks fencing numbers refuses such an order even if the pause falls between this check and
// the send; for the others see docs/design/06-orders.md.
func (e *Executor) execute(ctx context.Context, step Step) {
	engine := step.Engine.Upstream
	if !engine.GetChecksFencing() && e.Clock.Since(e.leaseTakenAt) < TakeoverDelay {
		return
	}
	if !e.fetchWeights(ctx, step.Fetch) {
		return
	}
	heldLease, ok := e.LeaseHolder.Held(LeaseName)
	if !ok || heldLease.Epoch != e.epoch {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, callTimeout)
	defer cancel()
	err := e.Client.Send(ctx, engine, Order{Fencing: heldLease.Epoch, Models: step.Models, Role: step.Role})
	if err == nil || step.stopsServing() && result.CodeOf(err) != result.NotHolder {
		e.pending[engine.GetName()] = pendingOrder{models: step.Models, role: step.Role, orderedAt: e.Clock.Now()}
	}
	e.Events.Record(event.OrderGiven, "upstream", engine.GetName(), "lease", LeaseName, "epoch", heldLease.Epoch,
		"models", formatModels(step.Models), "role", step.Role, "code", uint32(result.CodeOf(err)))
}

// fetchWeights asks the weight store to fetch a model; it returns false if that isn't possible
// yet.
func (e *Executor) fetchWeights(ctx context.Context, model *Model) bool {
	if model == nil {
		return true
	}
	if e.Clock.Now().Before(e.nextFetchAt) {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.Clock, callTimeout)
	defer cancel()
	_, wait, err := e.Weights.Fetch(ctx, model.Name, model.Version)
	if err != nil {
		e.nextFetchAt = e.Clock.Now().Add(reconcileInterval)
		return false
	}
	if wait > 0 {
		e.nextFetchAt = e.Clock.Now().Add(wait)
		return false
	}
	return true
}

func formatModels(models []Model) string {
	text := ""
	for i, m := range models {
		if i > 0 {
			text += ","
		}
		text += m.Name + "@" + m.Version
	}
	return text
}
