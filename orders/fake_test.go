package orders

import (
	"context"
	"slices"
	"sync"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/lease"
	"lavenderpin.dev/lavenderpin/result"
)

const defaultLoadTime = 7 * time.Second

// receivedOrder is an order that reached a fake engine.
type receivedOrder struct {
	epoch    uint64
	accepted bool
}

// fakeEngine holds models and carries out orders after a delay in fake time.
type fakeEngine struct {
	upstream *operatorv1.Upstream
	report   Report
	orders   []receivedOrder
	// changingRole is set while the engine changes its role; it serves in no role then.
	changingRole bool
}

// fakeEngines implements Client.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	// onSend, if set, is called before an order arrives; if it returns false, the order is
	// lost.
	onSend func(n int) bool
	sends  int
	// violations lists the invariants that were broken.
	violations []string
	// loadTime is how long an engine takes to load or drop a model.
	loadTime time.Duration
	// watchedModel names a model that must never vanish from a region that had it.
	watchedModel string
}

func newFakeEngines(engines ...*fakeEngine) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}, loadTime: defaultLoadTime}
	for _, e := range engines {
		f.engines[e.upstream.GetName()] = e
	}
	return f
}

func newFakeEngine(region, name string, checks bool, models ...Model) *fakeEngine {
	return &fakeEngine{
		upstream: &operatorv1.Upstream{Name: name, Service: "chat", Region: region, DataCentre: region + "-a", Address: "127.0.0.1:1", ChecksFencing: checks},
		report:   Report{Models: models, Capacity: 2, Slots: 10},
	}
}

func (f *fakeEngines) Report(_ context.Context, u *operatorv1.Upstream) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := f.engines[u.GetName()].report
	report.Models = slices.Clone(report.Models)
	return report, nil
}

func (f *fakeEngines) Send(_ context.Context, u *operatorv1.Upstream, order Order) error {
	f.mu.Lock()
	f.sends++
	n, hook := f.sends, f.onSend
	f.mu.Unlock()
	if hook != nil && !hook(n) {
		return result.New(result.UpstreamFailed, "the order was lost")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	engine := f.engines[u.GetName()]
	stale := order.Fencing < engine.report.Fencing
	if u.GetChecksFencing() && stale {
		engine.orders = append(engine.orders, receivedOrder{order.Fencing, false})
		return result.New(result.NotHolder, "old fencing number")
	}
	if stale {
		f.violations = append(f.violations, "an old holder's order was taken by "+u.GetName())
	}
	engine.report.Fencing = order.Fencing
	engine.orders = append(engine.orders, receivedOrder{order.Fencing, true})
	if order.Role != engine.report.Role {
		f.applyChange(engine, func() { engine.changingRole = true })
		engine.report.InFlight = engine.report.Slots // requests that it no longer serves queue up
		if !slices.Contains(engine.report.Roles, order.Role) {
			f.violations = append(f.violations, engine.upstream.GetName()+" was ordered to take a role that it can't take")
		}
	}
	time.AfterFunc(f.loadTime, func() { f.finishOrder(engine, order) })
	return nil
}

func (f *fakeEngines) finishOrder(engine *fakeEngine, order Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	models := order.Models
	f.applyChange(engine, func() {
		engine.report.Models = slices.Clone(models)
		engine.report.Role = order.Role
		engine.report.InFlight = 0
		engine.changingRole = false
	})
	if len(models) > engine.report.Capacity {
		f.violations = append(f.violations, "more models than fit on "+engine.upstream.GetName())
	}
}

// applyChange changes an engine, and records a violation if its region served the watched model
// before and no longer does.
func (f *fakeEngines) applyChange(engine *fakeEngine, change func()) {
	before := f.servingCopies(engine.upstream.GetRegion())
	change()
	if before > 0 && f.servingCopies(engine.upstream.GetRegion()) == 0 {
		f.violations = append(f.violations, "the last copy in "+engine.upstream.GetRegion()+" was dropped")
	}
}

// servingCopies counts what serves the watched model in a region: engines that serve on their
// own, and pairs of a prefill and a decode engine.
func (f *fakeEngines) servingCopies(region string) int {
	count, prefill, decode := 0, 0, 0
	for _, e := range f.engines {
		if e.upstream.GetRegion() != region || e.changingRole || !(Engine{Report: e.report}).retains(f.watchedModel) {
			continue
		}
		switch e.report.Role {
		case "prefill":
			prefill++
		case "decode":
			decode++
		default:
			count++
		}
	}
	return count + min(prefill, decode)
}

func (f *fakeEngines) countHolding(m Model) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, e := range f.engines {
		if (Engine{Report: e.report}).holds(m) {
			count++
		}
	}
	return count
}

func (f *fakeEngines) upstreams() []*operatorv1.Upstream {
	var all []*operatorv1.Upstream
	for _, e := range f.engines {
		all = append(all, e.upstream)
	}
	return all
}

// fakeLeaseHolder holds the lease or not as set by the test.
type fakeLeaseHolder struct {
	mu    sync.Mutex
	epoch uint64
	// beforeHeld, if set, is called before each check of the lease, for example to simulate a
	// pause.
	beforeHeld func()
}

func (h *fakeLeaseHolder) Held(name string) (lease.Lease, bool) {
	h.mu.Lock()
	hook := h.beforeHeld
	h.mu.Unlock()
	if hook != nil {
		hook()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return lease.Lease{Name: name, Epoch: h.epoch}, h.epoch != 0
}

func (h *fakeLeaseHolder) set(epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epoch = epoch
}

func (h *fakeLeaseHolder) Campaign(string) {}
func (h *fakeLeaseHolder) Release(string)  {}

// sentCount returns how many orders the executor has sent.
func (f *fakeEngines) sentCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sends
}
