package routing

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/routing/cache"
	"lavenderpin.dev/lavenderpin/routing/health"
)

// Balancer implements Picker. It is safe for concurrent use.
type Balancer struct {
	settings Settings
	clock    clockwork.Clock
	random   func() uint64
	// onHealthChange, when set, is called when an upstream's breaker changes state.
	onHealthChange func(upstream string, state health.State)
	startedAt      time.Time

	index     *cache.Index
	attempts  sync.Pool
	services  atomic.Pointer[map[string]*service]
	pauses    atomic.Pointer[pauses]
	eventGaps atomic.Uint64

	mu          sync.Mutex
	cacheOwners [cache.MaxEngines]*target
}

var _ Picker = (*Balancer)(nil)

// NewBalancer returns a balancer without upstreams. random must be safe for concurrent use
// if the balancer is used concurrently; onHealthChange may be nil.
func NewBalancer(settings Settings, clock clockwork.Clock, random func() uint64, onHealthChange func(upstream string, state health.State)) *Balancer {
	b := &Balancer{settings: settings, clock: clock, random: random, onHealthChange: onHealthChange, startedAt: clock.Now(), index: cache.NewIndex(settings.PrefixTTL)}
	b.attempts.New = func() any {
		a := &attempt{balancer: b}
		a.done = a.finish
		return a
	}
	b.services.Store(&map[string]*service{})
	return b
}

// EventGaps returns the number of gaps detected in the sequences of cache events.
func (b *Balancer) EventGaps() uint64 { return b.eventGaps.Load() }

// Pick implements Picker.
func (b *Balancer) Pick(request Request, candidates []*operatorv1.Upstream) (PickResult, error) {
	s := (*b.services.Load())[request.Service]
	if s == nil || !s.table.Load().builtFrom(candidates) {
		s = b.rebuildTable(request.Service, candidates)
	}
	c := pickCall{balancer: b, service: s, table: s.table.Load(), request: request, now: b.clock.Now()}
	c.pauses = b.pauses.Load().active(c.now)
	for range maxOpenTries {
		index := c.selectUpstream()
		if index < 0 {
			break
		}
		if c.open(c.table.entries[index].target) {
			return b.startAttempt(&c, index), nil
		}
	}
	return PickResult{}, c.noUpstreamError()
}

// startAttempt adds the request to the counters of the chosen upstream.
func (b *Balancer) startAttempt(c *pickCall, index int) PickResult {
	t := c.table.entries[index].target
	a := b.attempts.Get().(*attempt)
	a.target, a.start, a.probe, a.answered = t, c.now, c.probe, false
	a.service, a.sameRegion = c.service, c.table.candidates[index].GetRegion() == c.request.Region
	if a.sameRegion {
		c.service.localInFlight.Add(1)
	}
	a.slowdown = t.currentSlowdown(c.now)
	a.predicted = c.predict(t)
	a.tokens = int64(c.uncached(t))
	if t.awaitingFirstToken.Add(1) == 1 {
		t.lastProgress.Store(c.now.UnixNano())
	}
	t.requests.add(1, c.now)
	t.pending.add(a.tokens, c.now)
	if t.cacheID != noCacheID {
		for _, hash := range c.request.Prefix[min(c.matchLength(t.cacheID), len(c.request.Prefix)):] {
			b.index.Add(hash, t.cacheID, c.now)
		}
	}
	return PickResult{Upstream: c.table.candidates[index], Done: a.done, attempt: a, generation: a.generation.Load()}
}

// rebuildTable replaces a service's table. Upstreams that stay keep their state.
func (b *Balancer) rebuildTable(name string, candidates []*operatorv1.Upstream) *service {
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
	if old := s.table.Load(); !old.builtFrom(candidates) {
		s.table.Store(b.newTable(s, old, candidates))
	}
	return s
}

func (b *Balancer) addService(name string, s *service) {
	services := map[string]*service{name: s}
	for other, existing := range *b.services.Load() {
		services[other] = existing
	}
	b.services.Store(&services)
}

func (b *Balancer) newTable(s *service, old *table, candidates []*operatorv1.Upstream) *table {
	t := &table{candidates: candidates, byName: make(map[string]*target, len(candidates)), regionMeans: map[string]*meanLoad{}}
	if old != nil {
		t.regionMeans = maps.Clone(old.regionMeans)
	}
	for i, u := range candidates {
		var known *target
		if old != nil {
			known = old.unchangedTarget(u)
		}
		if known == nil {
			known = b.newTarget(s, u, t.regionMean(u.GetRegion()), old != nil)
			if old != nil && old.byName[u.GetName()] != nil {
				known.throttle.InheritLimit(&old.byName[u.GetName()].throttle)
			}
		}
		t.entries = append(t.entries, entry{target: known, regionMean: known.regionMean, cacheID: known.cacheID, draining: u.GetDraining()})
		t.byName[candidates[i].GetName()] = known
	}
	t.regionViews = t.buildRegionViews()
	if old != nil {
		b.removeTargets(s, old, t)
	}
	return t
}

// unchangedTarget returns the existing target of an upstream, or nil if the upstream is new
// or changed. At another address it is another process, of which nothing is known.
func (t *table) unchangedTarget(u *operatorv1.Upstream) *target {
	for i, old := range t.candidates {
		if old.GetName() == u.GetName() && old.GetAddress() == u.GetAddress() &&
			old.GetRegion() == u.GetRegion() && old.GetSlots() == u.GetSlots() {
			return t.entries[i].target
		}
	}
	return nil
}

func (t *table) regionMean(name string) *meanLoad {
	if t.regionMeans[name] == nil {
		t.regionMeans[name] = &meanLoad{}
	}
	return t.regionMeans[name]
}

// newTarget returns a target for an upstream. An upstream that joins a running service gets
// a slow start; those present from the start don't.
func (b *Balancer) newTarget(s *service, u *operatorv1.Upstream, regionMean *meanLoad, joining bool) *target {
	joined := time.Time{}
	if joining {
		joined = b.clock.Now()
	}
	name := u.GetName()
	var t *target
	breaker := health.NewBreaker(b.random, func(state health.State) {
		s.breakerChanged(t, state)
		if b.onHealthChange != nil {
			b.onHealthChange(name, state)
		}
	})
	t = newTarget(u, noCacheID, joined, breaker, regionMean)
	for i, owner := range b.cacheOwners {
		if owner == nil {
			b.cacheOwners[i] = t
			t.cacheID = i
			break
		}
	}
	return t
}

// removeTargets drops the state of the upstreams that aren't in the next table.
func (b *Balancer) removeTargets(s *service, old, next *table) {
	for _, e := range old.entries {
		t := e.target
		if next.byName[t.name] == t {
			continue
		}
		s.removeTarget(t)
		if t.cacheID != noCacheID {
			b.index.RemoveEngine(t.cacheID)
			b.cacheOwners[t.cacheID] = nil
		}
	}
}

// Report stores a load report of one upstream.
func (b *Balancer) Report(serviceName, upstream string, report LoadReport) {
	s, t := b.find(serviceName, upstream)
	if t == nil {
		return
	}
	t.setReport(report, b.clock.Now())
	s.updateMean(t.regionMean)
}

// CacheEvents applies cache events of one upstream, in the order of their sequence.
func (b *Balancer) CacheEvents(serviceName, upstream string, events []CacheEvent) {
	_, t := b.find(serviceName, upstream)
	if t == nil || t.cacheID == noCacheID {
		return
	}
	now := b.clock.Now()
	for _, e := range events {
		b.trackSequence(t, e.Sequence)
		if e.Stored {
			b.index.Add(e.Hash, t.cacheID, now)
		} else {
			b.index.Remove(e.Hash, t.cacheID)
		}
	}
}

// trackSequence counts gaps. A sequence that restarts means that the engine restarted with an
// empty cache: its old prefixes would attract requests that it has to prefill in full.
func (b *Balancer) trackSequence(t *target, sequence uint64) {
	last := t.lastEvent.Swap(sequence)
	switch {
	case sequence <= last:
		b.index.RemoveEngine(t.cacheID)
	case sequence != last+1 && last != 0:
		b.eventGaps.Add(1)
	}
}

// LastEvent returns the sequence of the latest cache event received from an upstream.
func (b *Balancer) LastEvent(serviceName, upstream string) uint64 {
	if _, t := b.find(serviceName, upstream); t != nil {
		return t.lastEvent.Load()
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
