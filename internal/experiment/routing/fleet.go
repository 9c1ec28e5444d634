package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/internal/enginemodel"
)

const (
	serviceName = "chat"
	near        = "north"
	far         = "south"
)

// Sizes of the smaller of the specified deployments.
const (
	nearEngines = 6
	farEngines  = 4
	nearNodes   = 4
	farNodes    = 2
	// nearShare is the share of requests that arrive at the near region.
	nearShare = 0.6
	localHop  = 1500 * time.Microsecond
)

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet simulates the engines, the nodes and the link of one run.
type fleet struct {
	sim       *enginemodel.Simulator
	clock     *clockwork.FakeClock
	random    *rand.Rand
	engines   []*enginemodel.Engine
	byName    map[string]*enginemodel.Engine
	regions   map[string]string
	upstreams []*operatorv1.Upstream
	nodes     []*node
	link      *link
	metrics   *metrics
}

func newFleet(policy Policy, scenario Scenario) *fleet {
	f := &fleet{
		sim:     enginemodel.NewSimulator(modelStart),
		clock:   clockwork.NewFakeClockAt(modelStart),
		random:  rand.New(rand.NewPCG(scenario.Seed, 7)),
		byName:  map[string]*enginemodel.Engine{},
		regions: map[string]string{},
		metrics: newMetrics(scenario),
	}
	f.sim.OnAdvance = func(by time.Duration) { f.clock.Advance(by) }
	f.link = newLink(f.sim)
	f.addNodes(policy, near, nearNodes, nearEngines)
	f.addNodes(policy, far, farNodes, farEngines)
	f.addEngines(scenario, near, nearEngines)
	f.addEngines(scenario, far, farEngines)
	return f
}

func (f *fleet) addNodes(policy Policy, region string, n, engines int) {
	for i := range n {
		f.nodes = append(f.nodes, newNode(f, policy, region, i, engines*enginemodel.DefaultParams().Slots/n))
	}
}

func (f *fleet) addEngines(scenario Scenario, region string, n int) {
	params := enginemodel.DefaultParams()
	for i := range n {
		name := fmt.Sprintf("%s-%d", region, i)
		var listeners []enginemodel.Listener
		for _, node := range f.nodes {
			listeners = append(listeners, node.listener(region))
		}
		e := enginemodel.NewEngine(name, params, f.sim, scenario.Seed*1000+uint64(len(f.engines)), listeners...)
		f.engines = append(f.engines, e)
		f.byName[name], f.regions[name] = e, region
		f.upstreams = append(f.upstreams, &operatorv1.Upstream{Name: name, Service: serviceName, Region: region, Slots: uint32(params.Slots)})
	}
}

// nodesOf returns the nodes of a region, which serve the callers of that region.
func (f *fleet) nodesOf(region string) []*node {
	if region == near {
		return f.nodes[:nearNodes]
	}
	return f.nodes[nearNodes:]
}
