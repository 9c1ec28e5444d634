package soak

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/platform/standin"
)

const (
	// eventsOfStream is how long each stream is.
	eventsOfStream = 20
	// heartbeatEvery is the interval of the upstreams' entries.
	heartbeatEvery = time.Second
	// prepaidAtFirst and topUpTokens, in tokens, are little: accounts run out within a run
	// and go on after a top-up.
	prepaidAtFirst = 150_000
	topUpTokens    = 100_000
)

// fleet is the nodes with what surrounds them.
type fleet struct {
	store     *standin.Store
	operator  *standin.Operator
	upstreams []*standin.Engine
	ways      []*Proxy
	nodes     []*node

	mu sync.Mutex
	// routes are the routes that were added, spans the steps that were played.
	routes []addedRoute
	spans  []span
	stop   chan struct{}
}

// addedRoute is a route that was added.
type addedRoute struct {
	kind standin.Route
	at   time.Time
}

func newFleet(program, dir string, nodes int) (*fleet, error) {
	f := &fleet{store: standin.NewStore(), stop: make(chan struct{})}
	f.operator = &standin.Operator{Store: f.store, Accounts: []standin.Account{{Name: "one", Keys: []string{"key-one"}, Prepaid: prepaidAtFirst}, {Name: "two", Keys: []string{"key-two"}, Prepaid: prepaidAtFirst}}}
	f.operator.Configure()
	for i := range 5 {
		service, events := standin.EngineService, eventsOfStream
		if i >= 3 {
			service, events = standin.PlainService, 0
		}
		e := standin.NewEngine(fmt.Sprintf("u%d", i), service, "dc", events)
		way, err := NewProxy(e.Address())
		if err != nil {
			return nil, errors.Trace(err)
		}
		e.AdvertisedAddress = way.Address()
		f.upstreams, f.ways = append(f.upstreams, e), append(f.ways, way)
	}
	f.beat()
	for i := range nodes {
		n, err := newNode(fmt.Sprintf("n%d", i), program, dir, f.store.Address())
		if err != nil {
			return nil, errors.Trace(err)
		}
		f.nodes = append(f.nodes, n)
		if err := n.start(); err != nil {
			return nil, errors.Trace(err)
		}
	}
	go f.heartbeats()
	return f, nil
}

func (f *fleet) beat() {
	for _, e := range f.upstreams {
		e.Register(f.store, "ready")
	}
}

func (f *fleet) heartbeats() {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
			f.beat()
		}
	}
}

func (f *fleet) close() {
	close(f.stop)
	for _, n := range f.nodes {
		n.close()
	}
	for _, w := range f.ways {
		w.Close()
	}
	for _, e := range f.upstreams {
		e.Close()
	}
	f.store.Close()
}

// apply does one step and notes when it was.
func (f *fleet) apply(s Step) error {
	begin := time.Now()
	err := f.do(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans = append(f.spans, span{Step: s, begin: begin, end: time.Now()})
	return err
}

// do does one step and ends it after its time.
func (f *fleet) do(s Step) error {
	hold := func(begin, end func()) {
		begin()
		time.Sleep(s.Duration)
		end()
	}
	way := func(p *Proxy, mode Mode) { hold(func() { p.SetMode(mode) }, func() { p.SetMode(Pass) }) }
	faults := func(faults standin.Faults) {
		e := f.upstreams[s.Target]
		hold(func() { e.SetFaults(faults) }, func() { e.SetFaults(standin.Faults{}) })
	}
	switch s.Kind {
	case KillNode:
		return f.nodes[s.Target].kill(s.Duration / 4)
	case KillAll:
		return f.killAll(s.Duration / 4)
	case PauseNode:
		n := f.nodes[s.Target]
		hold(func() { n.signal(syscall.SIGSTOP) }, func() { n.signal(syscall.SIGCONT) })
	case StopNode:
		return f.nodes[s.Target].stop()
	case StoreUnavailable:
		hold(func() { f.store.SetUnavailable(true) }, func() { f.store.SetUnavailable(false) })
	case StoreDropsResponses:
		hold(func() { f.store.DropResponses(true) }, func() { f.store.DropResponses(false) })
	case StoreCompacts:
		f.store.Compact()
	case NodeStoreSilent:
		way(f.nodes[s.Target].store, Blackhole)
	case NodeStoreDropsResponses:
		way(f.nodes[s.Target].store, DropResponses)
	case NodeStoreSlow:
		way(f.nodes[s.Target].store, Slow)
	case UpstreamReset:
		f.ways[s.Target].Reset()
	case UpstreamSilent:
		way(f.ways[s.Target], Blackhole)
	case UpstreamCutsStreams:
		faults(standin.Faults{CutAfter: 3})
	case UpstreamFails:
		faults(standin.Faults{Status: 500})
	case UpstreamSheds:
		faults(standin.Faults{Shed: true})
	case TopUp:
		f.topUp()
	case NewRoute:
		f.addRoute()
	}
	return nil
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

// topUp adds to every account.
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
	f.routes = append(f.routes, addedRoute{kind: route, at: time.Now()})
}

// added returns the routes that were added by now.
func (f *fleet) added() []addedRoute {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.routes)
}

// prepaid returns what each account has prepaid by now.
func (f *fleet) prepaid() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	totals := make(map[string]int64)
	for _, a := range f.operator.Accounts {
		totals[a.Name] = a.Prepaid
	}
	return totals
}
