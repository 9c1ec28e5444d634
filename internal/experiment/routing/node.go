package routing

import (
	"math/rand/v2"
	"time"

	"lavenderpin.dev/lavenderpin/admission"
	"lavenderpin.dev/lavenderpin/internal/enginemodel"
	"lavenderpin.dev/lavenderpin/routing"
)

const (
	expireEvery  = 50 * time.Millisecond
	observeEvery = 500 * time.Millisecond
)

var modelSlots = float64(enginemodel.DefaultParams().Slots)

// node is a router node: the real picker and admission core, with model time.
type node struct {
	fleet  *fleet
	region string
	picker routing.Picker
	core   *admission.Scheduler
	budget *admission.RetryBudget
	// tells is set if engines are told of priorities.
	tells bool
}

// enginePriority returns the priority that an engine is told.
func (n *node) enginePriority(c call) int {
	if n.tells {
		return c.priority
	}
	return 0
}

func newNode(f *fleet, policy Policy, region string, number, slots int) *node {
	n := &node{fleet: f, region: region, tells: policy.Priorities}
	n.picker = policy.Picker(f.clock, rand.New(rand.NewPCG(f.random.Uint64(), uint64(number))))
	if policy.RetryBudget {
		n.budget = admission.NewRetryBudget()
	}
	if policy.Admission != nil {
		n.core = admission.NewScheduler(policy.Admission(slots))
		f.sim.After(expireEvery, n.expire)
		f.sim.After(observeEvery, n.observe)
	}
	return n
}

func (n *node) expire() {
	n.core.Expire(n.fleet.clock.Now())
	n.fleet.sim.After(expireEvery, n.expire)
}

func (n *node) observe() {
	if p, ok := n.picker.(pressured); ok {
		here, elsewhere := p.Pressure(serviceName, n.region)
		n.core.Observe(n.fleet.clock.Now(), here, elsewhere)
		p.LimitLocal(serviceName, n.core.LocalLimit())
	}
	n.fleet.sim.After(observeEvery, n.observe)
}

// take runs a caller's request.
func (n *node) take(c call) {
	a := &attempts{node: n, call: c, arrived: n.fleet.sim.Now(), tried: map[string]bool{}}
	a.ask = routing.Request{
		Service: serviceName, Region: n.region, Account: c.account.name, Team: c.account.team,
		PromptTokens: c.prompt, AnswerTokens: meanAnswer, Prefix: c.prefix, Tried: a.tried, Priority: c.priority,
	}
	if !n.fleet.tally.scenario.NoDeadlines {
		a.ask.Deadline = a.arrived.Add(firstTokenDeadline)
	}
	n.fleet.tally.offered(c, a.arrived)
	if n.core == nil {
		a.begin()
		return
	}
	a.item = n.core.Submit(a.arrived, a.ask, a.decided)
}

// listen returns what hears the engines of a region on this node's behalf.
func (n *node) listen(region string) enginemodel.Listener { return &ear{node: n, region: region} }

// ear passes an engine's reports to a node's picker. Cache events of the other region
// aren't fetched: they would cross the link.
type ear struct {
	node   *node
	region string
}

// OnLoadReport implements enginemodel.Listener.
func (e *ear) OnLoadReport(engine string, r enginemodel.LoadReport) {
	f, ok := e.node.picker.(feed)
	if !ok || (e.region != e.node.region && e.node.fleet.link.cut) {
		return
	}
	f.Report(serviceName, engine, routing.LoadReport{Age: r.Age, Running: r.Running, Waiting: r.Waiting,
		PendingTokens: r.PendingTokens, MemoryUsed: r.MemoryUsed})
}

// OnCacheEvents implements enginemodel.Listener.
func (e *ear) OnCacheEvents(engine string, events []enginemodel.CacheEvent) {
	f, ok := e.node.picker.(feed)
	if !ok || e.region != e.node.region {
		return
	}
	heard := make([]routing.CacheEvent, len(events))
	for i, event := range events {
		heard[i] = routing.CacheEvent(event)
	}
	f.CacheEvents(serviceName, engine, heard)
}
