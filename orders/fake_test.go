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

// sent is one order that reached a fake engine.
type sent struct {
	epoch uint64
	taken bool
}

// fakeEngine holds models and takes orders, after a delay in fake time.
type fakeEngine struct {
	upstream *operatorv1.Upstream
	report   Report
	orders   []sent
	// moving is set while the engine changes its role, and serves in none.
	moving bool
}

// fakeEngines implements Client.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	// onSend, when set, is called before an order arrives; false loses the order.
	onSend func(n int) bool
	sends  int
	// violations lists what must never be seen.
	violations []string
	// loadTime is how long an engine takes to load or drop a model.
	loadTime time.Duration
	// watched names a model that must never vanish from a region that had it.
	watched string
}

func newFakeEngines(engines ...*fakeEngine) *fakeEngines {
	f := &fakeEngines{engines: map[string]*fakeEngine{}, loadTime: defaultLoadTime}
	for _, e := range engines {
		f.engines[e.upstream.GetName()] = e
	}
	return f
}

func engineIn(region, name string, checks bool, models ...Model) *fakeEngine {
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
		engine.orders = append(engine.orders, sent{order.Fencing, false})
		return result.New(result.NotHolder, "old fencing number")
	}
	if stale {
		f.violations = append(f.violations, "an old holder's order was taken by "+u.GetName())
	}
	engine.report.Fencing = order.Fencing
	engine.orders = append(engine.orders, sent{order.Fencing, true})
	if order.Role != engine.report.Role {
		f.changes(engine, func() { engine.moving = true })
		engine.report.InFlight = engine.report.Slots // what it no longer serves queues up
		if !slices.Contains(engine.report.Roles, order.Role) {
			f.violations = append(f.violations, engine.upstream.GetName()+" was told a role that it can't take")
		}
	}
	time.AfterFunc(f.loadTime, func() { f.done(engine, order) })
	return nil
}

func (f *fakeEngines) done(engine *fakeEngine, order Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	models := order.Models
	f.changes(engine, func() {
		engine.report.Models = slices.Clone(models)
		engine.report.Role = order.Role
		engine.report.InFlight = 0
		engine.moving = false
	})
	if len(models) > engine.report.Capacity {
		f.violations = append(f.violations, "more models than fit on "+engine.upstream.GetName())
	}
}

// changes changes an engine, and notes when its region served the watched model before
// and no longer does.
func (f *fakeEngines) changes(engine *fakeEngine, change func()) {
	before := f.copies(engine.upstream.GetRegion())
	change()
	if before > 0 && f.copies(engine.upstream.GetRegion()) == 0 {
		f.violations = append(f.violations, "the last copy in "+engine.upstream.GetRegion()+" was dropped")
	}
}

// copies counts what serves the watched model in a region: engines that do all by
// themselves, and pairs of which one prefills and the other decodes.
func (f *fakeEngines) copies(region string) int {
	count, prefill, decode := 0, 0, 0
	for _, e := range f.engines {
		if e.upstream.GetRegion() != region || e.moving || !(Engine{Report: e.report}).keeps(f.watched) {
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

func (f *fakeEngines) holders(m Model) int {
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

// fakeLessor is held or not as the test says.
type fakeLessor struct {
	mu    sync.Mutex
	epoch uint64
	// onHeld, when set, is called on each question; it stands for a pause.
	onHeld func()
}

func (l *fakeLessor) Held(name string) (lease.Lease, bool) {
	l.mu.Lock()
	hook := l.onHeld
	l.mu.Unlock()
	if hook != nil {
		hook()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return lease.Lease{Name: name, Epoch: l.epoch}, l.epoch != 0
}

func (l *fakeLessor) set(epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = epoch
}

func (l *fakeLessor) Campaign(string) {}
func (l *fakeLessor) Release(string)  {}

// sent returns how many orders left the executor.
func (f *fakeEngines) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sends
}
