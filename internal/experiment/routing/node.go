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

// node is a router node: the production picker and admission scheduler in simulated time.
type node struct {
	fleet       *fleet
	region      string
	picker      routing.Picker
	scheduler   *admission.Scheduler
	retryBudget *admission.RetryBudget
	// forwardPriorities passes request priorities on to the engines.
	forwardPriorities bool
}

// enginePriority returns the priority passed to the engine.
func (n *node) enginePriority(c call) int {
	if n.forwardPriorities {
		return c.priority
	}
	return 0
}

func newNode(f *fleet, policy Policy, region string, number, slots int) *node {
	n := &node{fleet: f, region: region, forwardPriorities: policy.Priorities}
	n.picker = policy.Picker(f.clock, rand.New(rand.NewPCG(f.random.Uint64(), uint64(number))))
	if policy.RetryBudget {
		n.retryBudget = admission.NewRetryBudget()
	}
	if policy.Admission != nil {
		n.scheduler = admission.NewScheduler(policy.Admission(slots))
		f.sim.After(expireEvery, n.expire)
		f.sim.After(observeEvery, n.observe)
	}
	return n
}

func (n *node) expire() {
	n.scheduler.Expire(n.fleet.clock.Now())
	n.fleet.sim.After(expireEvery, n.expire)
}

func (n *node) observe() {
	if p, ok := n.picker.(pressureReporter); ok {
		here, elsewhere := p.Pressure(serviceName, n.region)
		n.scheduler.Observe(n.fleet.clock.Now(), here, elsewhere)
		p.LimitLocal(serviceName, n.scheduler.LocalLimit())
	}
	n.fleet.sim.After(observeEvery, n.observe)
}

// handle processes a caller's request.
func (n *node) handle(c call) {
	r := &request{node: n, call: c, arrived: n.fleet.sim.Now(), tried: map[string]bool{}}
	r.routingRequest = routing.Request{
		Service: serviceName, Region: n.region, Account: c.account.name, Team: c.account.team,
		PromptTokens: c.prompt, AnswerTokens: meanAnswerTokens, Prefix: c.prefix, Tried: r.tried, Priority: c.priority,
	}
	if !n.fleet.metrics.scenario.NoDeadlines {
		r.routingRequest.Deadline = r.arrived.Add(firstTokenDeadline)
	}
	n.fleet.metrics.recordArrival(c, r.arrived)
	if n.scheduler == nil {
		r.start()
		return
	}
	r.admissionRequest = n.scheduler.Submit(r.arrived, r.routingRequest, r.onAdmission)
}

// listener returns the listener for events from the engines of a region.
func (n *node) listener(region string) enginemodel.Listener {
	return &engineListener{node: n, region: region}
}

// engineListener passes engine reports to a node's picker. It drops cache events of the
// other region, which nodes don't fetch because they would cross the link.
type engineListener struct {
	node   *node
	region string
}

// OnLoadReport implements enginemodel.Listener.
func (l *engineListener) OnLoadReport(engine string, r enginemodel.LoadReport) {
	f, ok := l.node.picker.(reportReceiver)
	if !ok || (l.region != l.node.region && l.node.fleet.link.cut) {
		return
	}
	f.Report(serviceName, engine, routing.LoadReport{Age: r.Age, Running: r.Running, Waiting: r.Waiting,
		PendingTokens: r.PendingTokens, MemoryUsed: r.MemoryUsed})
}

// OnCacheEvents implements enginemodel.Listener.
func (l *engineListener) OnCacheEvents(engine string, events []enginemodel.CacheEvent) {
	f, ok := l.node.picker.(reportReceiver)
	if !ok || l.region != l.node.region {
		return
	}
	converted := make([]routing.CacheEvent, len(events))
	for i, event := range events {
		converted[i] = routing.CacheEvent(event)
	}
	f.CacheEvents(serviceName, engine, converted)
}
