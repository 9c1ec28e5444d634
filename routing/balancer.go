package routing

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing/cache"
	"lavenderpin.dev/lavenderpin/routing/health"
)

// Balancer implements Picker. It is safe for concurrent use.
type Balancer struct {
	settings Settings
	clock    clockwork.Clock
	random   func() uint64
	// changed, when set, is told when an upstream's breaker changes.
	changed func(upstream string, state health.State)

	index    *cache.Index
	tickets  sync.Pool
	services atomic.Pointer[map[string]*service]
	gaps     atomic.Uint64

	mu      sync.Mutex
	holders [cache.MaxEngines]*target
}

var _ Picker = (*Balancer)(nil)

// NewBalancer returns a balancer that knows no upstream yet. random must be safe for
// concurrent use if the balancer is used so; changed may be nil.
func NewBalancer(settings Settings, clock clockwork.Clock, random func() uint64, changed func(upstream string, state health.State)) *Balancer {
	b := &Balancer{settings: settings, clock: clock, random: random, changed: changed, index: cache.NewIndex(settings.PrefixTTL)}
	b.tickets.New = func() any {
		t := &ticket{balancer: b}
		t.done = t.finish
		return t
	}
	b.services.Store(&map[string]*service{})
	return b
}

// EventGaps returns how many gaps were seen in cache events.
func (b *Balancer) EventGaps() uint64 { return b.gaps.Load() }

// Pick implements Picker.
func (b *Balancer) Pick(ask Request, candidates []*operatorv1.Upstream) (PickResult, error) {
	s := (*b.services.Load())[ask.Service]
	if s == nil || !s.table.Load().of(candidates) {
		s = b.rebuild(ask.Service, candidates)
	}
	c := choice{balancer: b, service: s, table: s.table.Load(), ask: ask, now: b.clock.Now()}
	at := c.choose()
	if at < 0 {
		return PickResult{}, result.New(result.NoUpstream, "no upstream of %s is left to try", ask.Service).After(c.comeBack())
	}
	return b.issue(&c, at), nil
}

// issue books the request on the chosen upstream.
func (b *Balancer) issue(c *choice, at int) PickResult {
	t := c.table.entries[at].target
	held := b.tickets.Get().(*ticket)
	held.target, held.at, held.probe, held.answered = t, c.now, c.probe, false
	held.service, held.local = c.service, c.table.candidates[at].GetRegion() == c.ask.Region
	if held.local {
		c.service.local.Add(1)
	}
	held.pace = t.currentPace(c.now)
	held.predicted = c.predict(t)
	held.tokens = int64(c.uncached(t))
	if t.owing.Add(1) == 1 {
		t.progress.Store(c.now.UnixNano())
	}
	t.requests.add(1, c.now)
	t.pending.add(held.tokens, c.now)
	if t.holder != noHolder {
		for _, hash := range c.ask.Prefix[min(c.depth(t.holder), len(c.ask.Prefix)):] {
			b.index.Add(hash, t.holder, c.now)
		}
	}
	return PickResult{Upstream: c.table.candidates[at], Done: held.done, ticket: held, generation: held.generation.Load()}
}

// rebuild replaces a service's table. Upstreams that stay keep what is known of them.
func (b *Balancer) rebuild(name string, candidates []*operatorv1.Upstream) *service {
	b.mu.Lock()
	defer b.mu.Unlock()
	services := *b.services.Load()
	s := services[name]
	if s == nil {
		s = &service{}
		s.table.Store(b.newTable(s, nil, candidates))
		b.addService(name, s)
		return s
	}
	if old := s.table.Load(); !old.of(candidates) {
		s.table.Store(b.newTable(s, old, candidates))
	}
	return s
}

func (b *Balancer) addService(name string, s *service) {
	grown := map[string]*service{name: s}
	for other, held := range *b.services.Load() {
		grown[other] = held
	}
	b.services.Store(&grown)
}

func (b *Balancer) newTable(s *service, old *table, candidates []*operatorv1.Upstream) *table {
	t := &table{candidates: candidates, byName: make(map[string]*target, len(candidates)), regions: map[string]*regionLoad{}}
	if old != nil {
		t.regions = maps.Clone(old.regions)
	}
	for i, u := range candidates {
		var held *target
		if old != nil {
			held = old.kept(u)
		}
		if held == nil {
			held = b.newTarget(s, u, t.region(u.GetRegion()), old != nil)
		}
		t.entries = append(t.entries, entry{target: held, region: held.region, holder: held.holder, draining: u.GetDraining()})
		t.byName[candidates[i].GetName()] = held
	}
	t.seenFrom = t.neighbourhoods()
	if old != nil {
		b.dropTargets(s, old, t)
	}
	return t
}

// kept returns the target of an upstream that is the same as before. Under another
// address it is another process, of which nothing is known.
func (t *table) kept(u *operatorv1.Upstream) *target {
	for i, before := range t.candidates {
		if before.GetName() == u.GetName() && before.GetAddress() == u.GetAddress() &&
			before.GetRegion() == u.GetRegion() && before.GetSlots() == u.GetSlots() {
			return t.entries[i].target
		}
	}
	return nil
}

func (t *table) region(name string) *regionLoad {
	if t.regions[name] == nil {
		t.regions[name] = &regionLoad{}
	}
	return t.regions[name]
}

// newTarget returns an upstream's target. One that joins a running service is spared
// at first; those known from the start are not.
func (b *Balancer) newTarget(s *service, u *operatorv1.Upstream, region *regionLoad, joins bool) *target {
	since := time.Time{}
	if joins {
		since = b.clock.Now()
	}
	name := u.GetName()
	var t *target
	breaker := health.NewBreaker(b.random, func(state health.State) {
		s.healthChanged(t, state)
		if b.changed != nil {
			b.changed(name, state)
		}
	})
	t = newTarget(u, noHolder, since, breaker, region)
	for i, taken := range b.holders {
		if taken == nil {
			b.holders[i] = t
			t.holder = i
			break
		}
	}
	return t
}

// dropTargets forgets the upstreams that aren't in the next table.
func (b *Balancer) dropTargets(s *service, old, next *table) {
	for _, e := range old.entries {
		t := e.target
		if next.byName[t.name] == t {
			continue
		}
		s.left(t)
		if t.holder != noHolder {
			b.index.RemoveEngine(t.holder)
			b.holders[t.holder] = nil
		}
	}
}

// Report takes in a load report.
func (b *Balancer) Report(serviceName, upstream string, report LoadReport) {
	s, t := b.find(serviceName, upstream)
	if t == nil {
		return
	}
	t.hear(report, b.clock.Now())
	s.updateMeans(t.region)
}

// CacheEvents takes in cache events of one upstream, in the order of their sequence.
func (b *Balancer) CacheEvents(serviceName, upstream string, events []CacheEvent) {
	_, t := b.find(serviceName, upstream)
	if t == nil || t.holder == noHolder {
		return
	}
	now := b.clock.Now()
	for _, e := range events {
		b.follow(t, e.Sequence)
		if e.Stored {
			b.index.Add(e.Hash, t.holder, now)
		} else {
			b.index.Remove(e.Hash, t.holder)
		}
	}
}

// follow notes gaps. A sequence that starts again means that the engine restarted
// with an empty cache: its old prefixes would draw requests that it must prefill.
func (b *Balancer) follow(t *target, sequence uint64) {
	last := t.events.Swap(sequence)
	switch {
	case sequence <= last:
		b.index.RemoveEngine(t.holder)
	case sequence != last+1 && last != 0:
		b.gaps.Add(1)
	}
}

// LastEvent returns the sequence of the latest cache event heard of an upstream.
func (b *Balancer) LastEvent(serviceName, upstream string) uint64 {
	if _, t := b.find(serviceName, upstream); t != nil {
		return t.events.Load()
	}
	return 0
}

func (b *Balancer) find(serviceName, upstream string) (*service, *target) {
	s := (*b.services.Load())[serviceName]
	if s == nil {
		return nil, nil
	}
	return s, s.table.Load().byName[upstream]
}
