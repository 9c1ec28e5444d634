package routing

import (
	"math/rand/v2"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

// chooseFunc chooses one of the candidate upstreams.
type chooseFunc func(b *baseline, request *routing.Request, candidates []*operatorv1.Upstream) *operatorv1.Upstream

// baseline is a simple picker for comparison. It prefers upstreams of its own region and
// skips those that already failed the same request; it has no other rules.
type baseline struct {
	random       *rand.Rand
	choose       chooseFunc
	next         int
	reports      map[string]routing.LoadReport
	cachedBlocks map[string]map[uint64]bool
}

func newBaseline(random *rand.Rand, choose chooseFunc) *baseline {
	return &baseline{random: random, choose: choose, reports: map[string]routing.LoadReport{}, cachedBlocks: map[string]map[uint64]bool{}}
}

// Pick implements routing.Picker.
func (b *baseline) Pick(request routing.Request, candidates []*operatorv1.Upstream) (routing.PickResult, error) {
	var local, remote []*operatorv1.Upstream
	for _, u := range candidates {
		switch {
		case request.Tried[u.GetName()]:
		case u.GetRegion() == request.Region:
			local = append(local, u)
		default:
			remote = append(remote, u)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return routing.PickResult{}, result.New(result.NoUpstream, "none left")
	}
	return routing.PickResult{Upstream: b.choose(b, &request, local), Done: func(error) {}}, nil
}

// Report stores an upstream's latest load report.
func (b *baseline) Report(_, upstream string, report routing.LoadReport) {
	b.reports[upstream] = report
}

// CacheEvents applies cache events to the set of blocks that an upstream caches.
func (b *baseline) CacheEvents(_, upstream string, events []routing.CacheEvent) {
	if b.cachedBlocks[upstream] == nil {
		b.cachedBlocks[upstream] = map[uint64]bool{}
	}
	for _, e := range events {
		if e.Stored {
			b.cachedBlocks[upstream][e.Hash] = true
		} else {
			delete(b.cachedBlocks[upstream], e.Hash)
		}
	}
}

// Pressure sums the latest load reports of a region, so that a baseline can be combined
// with admission control.
func (b *baseline) Pressure(_, region string) (here, elsewhere routing.Pressure) {
	for name, r := range b.reports {
		if name[:len(region)] == region {
			here.Waiting += float64(r.Waiting)
			here.Running += float64(r.Running)
			here.Slots += modelSlots
		}
	}
	return here, routing.Pressure{}
}

// LimitLocal does nothing: a baseline doesn't balance load between regions.
func (b *baseline) LimitLocal(string, int) {}

func chooseRandom(b *baseline, _ *routing.Request, candidates []*operatorv1.Upstream) *operatorv1.Upstream {
	return candidates[b.random.IntN(len(candidates))]
}

func chooseRoundRobin(b *baseline, _ *routing.Request, candidates []*operatorv1.Upstream) *operatorv1.Upstream {
	b.next++
	return candidates[b.next%len(candidates)]
}

func chooseLeastLoaded(b *baseline, _ *routing.Request, candidates []*operatorv1.Upstream) *operatorv1.Upstream {
	best := candidates[b.random.IntN(len(candidates))]
	for _, u := range candidates {
		if b.queueLength(u) < b.queueLength(best) {
			best = u
		}
	}
	return best
}

func (b *baseline) queueLength(u *operatorv1.Upstream) int {
	r := b.reports[u.GetName()]
	return r.Running + r.Waiting
}

func chooseMostCached(b *baseline, request *routing.Request, candidates []*operatorv1.Upstream) *operatorv1.Upstream {
	best := candidates[b.random.IntN(len(candidates))]
	longest := b.cachedPrefixLength(best, request)
	for _, u := range candidates {
		if cachedPrefixLength := b.cachedPrefixLength(u, request); cachedPrefixLength > longest {
			best, longest = u, cachedPrefixLength
		}
	}
	return best
}

func (b *baseline) cachedPrefixLength(u *operatorv1.Upstream, request *routing.Request) int {
	cached := b.cachedBlocks[u.GetName()]
	for i, hash := range request.Prefix {
		if !cached[hash] {
			return i
		}
	}
	return len(request.Prefix)
}
