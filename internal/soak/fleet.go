package soak

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

const (
	// upstreamCount is the number of upstreams, of which the first engineCount are model engines.
	upstreamCount, engineCount = 5, 3
	// eventsPerStream is the number of events in each stream.
	eventsPerStream = 20
	// heartbeatInterval is how often upstreams renew their store entries.
	heartbeatInterval = time.Second
	// initialPrepaid and topUpTokens, in tokens, are small so that accounts run out within a
	// run and continue after a top-up.
	initialPrepaid = 150_000
	topUpTokens    = 100_000
	// streamAccount sends the long streams. streamPrepaid, in tokens, suffices for all of them,
	// so that a shortage never keeps nodes from accepting them.
	streamAccount = "streams"
	streamPrepaid = 100_000_000
	// upstreamReady and upstreamDraining are the states of entries in the store.
	upstreamReady    = "ready"
	upstreamDraining = "draining"
)

// longStreamRoute serves streams that may outlast a node's grace period.
var longStreamRoute = standin.Route{Name: "chats", Kind: "streaming", Engine: true, MaxAttempts: 1, Timeout: longStreamTimeout}

// fleet is the nodes with the store, operator, upstreams and proxies around them.
type fleet struct {
	options   Options
	store     *standin.Store
	operator  *standin.Operator
	upstreams []*standin.Engine
	proxies   []*Proxy
	nodes     []*node

	mu sync.Mutex
	// states are the states in the upstreams' entries, faults the upstreams' faults.
	states []string
	faults []standin.Faults
	// crashesUnderRequests is how many engines and how many plain services crash under some requests now.
	crashesUnderRequests [2]int
	// versions are the versions of the upstreams' software.
	versions []string
	// routes are the routes added so far, spans the steps executed so far.
	routes []addedRoute
	spans  []span
	stop   chan struct{}
}

// addedRoute is a route with the time at which it was added.
type addedRoute struct {
	route standin.Route
	at    time.Time
}

func newFleet(o Options) (*fleet, error) {
	f := &fleet{options: o, store: standin.NewStore(), stop: make(chan struct{})}
	f.operator = &standin.Operator{Store: f.store, Accounts: []standin.Account{{Name: "one", Keys: []string{"key-one"}, Prepaid: initialPrepaid}, {Name: "two", Keys: []string{"key-two"}, Prepaid: initialPrepaid},
		{Name: streamAccount, Keys: []string{"key-" + streamAccount}, Prepaid: streamPrepaid}}, ExtraRoutes: []standin.Route{longStreamRoute, overdueRoute}}
	if o.Places {
		f.operator.Accounts, f.operator.ExtraRoutes = append(f.operator.Accounts, limitedAccount), append(f.operator.ExtraRoutes, limitedRoute)
		f.operator.Warmup = fleetWarmup
	}
	f.operator.Configure()
	for i := range upstreamCount {
		service, events := standin.EngineService, eventsPerStream
		if i >= engineCount {
			service, events = standin.PlainService, 0
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(uniqueLoopback().String(), "0"))
		if err != nil {
			return nil, errors.Trace(err)
		}
		e := standin.NewEngineAt(listener, fmt.Sprintf("u%d", i), service, o.upstreamPlace(i).dataCentre, events)
		f.versions = append(f.versions, standin.FirstVersion)
		if i == 1 {
			e.Version, f.versions[i] = secondVersion, secondVersion
		}
		proxy, err := NewProxy(e.Address())
		if err != nil {
			return nil, errors.Trace(err)
		}
		e.AdvertisedAddress = proxy.Address()
		e.SetCrashes(f.crashes(false))
		f.upstreams, f.proxies = append(f.upstreams, e), append(f.proxies, proxy)
		f.states, f.faults = append(f.states, upstreamReady), append(f.faults, standin.Faults{})
	}
	f.registerUpstreams()
	for i := range o.Nodes {
		n, err := newNode(fmt.Sprintf("n%d", i), o, o.nodePlace(i), f.store.Address())
		if err != nil {
			return nil, errors.Trace(err)
		}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	go f.runHeartbeats()
	return f, nil
}

func (f *fleet) registerUpstreams() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, e := range f.upstreams {
		e.Register(f.store, f.states[i])
	}
}

// setState changes the state in an upstream's entry.
func (f *fleet) setState(upstream int, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[upstream] = state
	f.upstreams[upstream].Register(f.store, state)
}

// changeFaults changes some of an upstream's faults and keeps those of overlapping steps.
func (f *fleet) changeFaults(upstream int, change func(*standin.Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.faults[upstream])
	f.upstreams[upstream].SetFaults(f.faults[upstream])
}

func (f *fleet) runHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
			f.registerUpstreams()
		}
	}
}

func (f *fleet) close() {
	close(f.stop)
	for _, n := range f.nodes {
		n.close()
	}
	for _, p := range f.proxies {
		p.Close()
	}
	for _, e := range f.upstreams {
		e.Close()
	}
	f.store.Close()
}

// apply executes one step and records when it took place.
func (f *fleet) apply(s Step) error {
	done := span{Step: s, begin: time.Now()}
	done.inForce = done.begin
	err := f.inject(s, func() { done.inForce = time.Now() })
	done.end = time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans = append(f.spans, done)
	return err
}

// inject executes one step and ends it after its duration. It calls inForce when a step that takes effect in
// parts has done so in full.
func (f *fleet) inject(s Step, inForce func()) error {
	hold := func(begin, end func()) {
		begin()
		time.Sleep(s.Duration)
		end()
	}
	setMode := func(p *Proxy, mode Mode) { hold(func() { p.SetMode(mode) }, func() { p.SetMode(Pass) }) }
	changeFaults := func(begin, end func(*standin.Faults)) {
		hold(func() { f.changeFaults(s.Target, begin) }, func() { f.changeFaults(s.Target, end) })
	}
	switch s.Kind {
	case KillNode:
		return f.nodes[s.Target].kill(s.Duration / 4)
	case KillAll:
		return f.killAll(s.Duration / 4)
	case PauseNode:
		n := f.nodes[s.Target]
		hold(func() { n.signal(syscall.SIGSTOP) }, func() { n.signal(syscall.SIGCONT) })
	case StarveNode:
		f.nodes[s.Target].starve(s.Duration)
	case StopNode:
		return f.nodes[s.Target].stop()
	case StoreUnavailable:
		hold(func() { f.store.SetUnavailable(true) }, func() { f.store.SetUnavailable(false) })
	case StoreDropsResponses:
		hold(func() { f.store.DropResponses(true) }, func() { f.store.DropResponses(false) })
	case StoreCompacts:
		f.store.Compact()
	case NodeStoreSilent:
		setMode(f.nodes[s.Target].storeProxy, Blackhole)
	case NodeStoreDropsResponses:
		setMode(f.nodes[s.Target].storeProxy, DropResponses)
	case NodeStoreSlow:
		setMode(f.nodes[s.Target].storeProxy, Slow)
	case NodeUpstreamsSilent, NodeUpstreamsReset:
		return f.cutFromUpstreams(s, inForce)
	case UpstreamReset:
		f.proxies[s.Target].Reset()
	case UpstreamSilent:
		setMode(f.proxies[s.Target], Blackhole)
	case UpstreamCutsStreams:
		changeFaults(func(x *standin.Faults) { x.CutAfter = 3 }, func(x *standin.Faults) { x.CutAfter = 0 })
	case UpstreamSpoilsStreams:
		changeFaults(func(x *standin.Faults) { x.SpoilEvery, x.Spoil = s.SpoilEvery, s.Spoil }, func(x *standin.Faults) { x.SpoilEvery = 0 })
	case UpstreamFails:
		changeFaults(func(x *standin.Faults) { x.Status = 500 }, func(x *standin.Faults) { x.Status = 0 })
	case UpstreamSheds:
		retryAfter := ""
		if s.RetryAfter > 0 {
			retryAfter = fmt.Sprint(s.RetryAfter.Seconds())
		}
		changeFaults(func(x *standin.Faults) { x.Shed, x.ShedEvery, x.RetryAfter = true, s.ShedEvery, retryAfter },
			func(x *standin.Faults) { x.Shed, x.ShedEvery, x.RetryAfter = false, 0, "" })
	case UpstreamNamesLimit:
		changeFaults(func(x *standin.Faults) { x.Limit = s.Limit }, func(x *standin.Faults) { x.Limit = 0 })
	case UpstreamCrashes:
		f.upstreams[s.Target].Crash("")
		time.Sleep(s.Duration)
	case RequestsCrashUpstream:
		hold(func() { f.setCrashes(s.Target, true) }, func() { f.setCrashes(s.Target, false) })
	case UpstreamLeaves:
		f.leave(s)
	case UpstreamChangesVersion:
		f.changeVersion(s.Target)
	case UpstreamRestartsCold:
		f.restartCold(s)
	case EvacuateDataCentre:
		f.evacuate(s, inForce)
	case OddEntries:
		f.putOddEntries(s)
	case TopUp:
		f.topUp()
	case NewRoute:
		f.addRoute()
	}
	return nil
}

// cutFromUpstreams cuts a node from all upstreams for a while.
func (f *fleet) cutFromUpstreams(s Step, inForce func()) error {
	set := func(cut, withReset bool) error {
		for _, p := range f.proxies {
			if err := p.CutClient(f.nodes[s.Target].ip, cut, withReset); err != nil {
				return errors.Trace(err)
			}
		}
		return nil
	}
	if err := set(true, s.Kind == NodeUpstreamsReset); err != nil {
		return errors.Trace(err)
	}
	inForce()
	time.Sleep(s.Duration)
	return set(false, false)
}

// leave lets an upstream leave and then restart under the same ID.
func (f *fleet) leave(s Step) {
	f.changeFaults(s.Target, func(x *standin.Faults) { x.Leaving = true })
	if s.EntryDelay > 0 {
		time.Sleep(s.EntryDelay)
		f.setState(s.Target, upstreamDraining)
	}
	time.Sleep(s.Duration - s.EntryDelay)
	f.changeFaults(s.Target, func(x *standin.Faults) {
		x.Leaving = false
		f.upstreams[s.Target].Restart() // clears all faults; those of other steps are set again
	})
	f.setState(s.Target, upstreamReady)
}

func (f *fleet) killAll(down time.Duration) error {
	errs := make(chan error, len(f.nodes))
	for _, n := range f.nodes {
		go func() { errs <- n.kill(down) }()
	}
	for range f.nodes {
		if err := <-errs; err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// topUp adds topUpTokens to every account.
func (f *fleet) topUp() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.operator.Accounts {
		f.operator.Accounts[i].Prepaid += topUpTokens
	}
	f.operator.Configure()
}

func (f *fleet) addRoute() {
	f.mu.Lock()
	defer f.mu.Unlock()
	route := standin.LookupRoute
	route.Name = fmt.Sprintf("added%d", len(f.routes))
	f.operator.ExtraRoutes = append(f.operator.ExtraRoutes, route)
	f.operator.Configure()
	f.routes = append(f.routes, addedRoute{route: route, at: time.Now()})
}

// addedRoutes returns the routes added so far.
func (f *fleet) addedRoutes() []addedRoute {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routes)
}

// prepaid returns the tokens that each account has prepaid so far.
func (f *fleet) prepaid() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	totals := make(map[string]int64)
	for _, a := range f.operator.Accounts {
		totals[a.Name] = a.Prepaid
	}
	return totals
}
