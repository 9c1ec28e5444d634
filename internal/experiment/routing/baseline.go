package routing

import (
	"math/rand/v2"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

// chooser picks among the usable upstreams of the region.
type chooser func(b *baseline, ask *routing.Request, usable []*operatorv1.Upstream) *operatorv1.Upstream

// baseline is a plain picker to compare with. It prefers its own region and leaves
// out what failed the same request before, and no more.
type baseline struct {
	random  *rand.Rand
	choose  chooser
	turn    int
	reports map[string]routing.LoadReport
	blocks  map[string]map[uint64]bool
}

func newBaseline(random *rand.Rand, choose chooser) *baseline {
	return &baseline{random: random, choose: choose, reports: map[string]routing.LoadReport{}, blocks: map[string]map[uint64]bool{}}
}

// Pick implements routing.Picker.
func (b *baseline) Pick(ask routing.Request, candidates []*operatorv1.Upstream) (routing.PickResult, error) {
	var local, remote []*operatorv1.Upstream
	for _, u := range candidates {
		switch {
		case ask.Tried[u.GetName()]:
		case u.GetRegion() == ask.Region:
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
	return routing.PickResult{Upstream: b.choose(b, &ask, local), Done: func(error) {}}, nil
}

// Report takes in a load report.
func (b *baseline) Report(_, upstream string, report routing.LoadReport) {
	b.reports[upstream] = report
}

// CacheEvents takes in cache events.
func (b *baseline) CacheEvents(_, upstream string, events []routing.CacheEvent) {
	if b.blocks[upstream] == nil {
		b.blocks[upstream] = map[uint64]bool{}
	}
	for _, e := range events {
		if e.Stored {
			b.blocks[upstream][e.Hash] = true
		} else {
			delete(b.blocks[upstream], e.Hash)
		}
	}
}

// Pressure returns what the latest reports say, so that admission can stand before a
// baseline too.
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

// LimitLocal does nothing: a baseline knows no other region.
func (b *baseline) LimitLocal(string, int) {}

func chooseRandom(b *baseline, _ *routing.Request, usable []*operatorv1.Upstream) *operatorv1.Upstream {
	return usable[b.random.IntN(len(usable))]
}

func chooseInTurn(b *baseline, _ *routing.Request, usable []*operatorv1.Upstream) *operatorv1.Upstream {
	b.turn++
	return usable[b.turn%len(usable)]
}

func chooseLeastReported(b *baseline, _ *routing.Request, usable []*operatorv1.Upstream) *operatorv1.Upstream {
	best := usable[b.random.IntN(len(usable))]
	for _, u := range usable {
		if b.load(u) < b.load(best) {
			best = u
		}
	}
	return best
}

func (b *baseline) load(u *operatorv1.Upstream) int {
	r := b.reports[u.GetName()]
	return r.Running + r.Waiting
}

func chooseMostCached(b *baseline, ask *routing.Request, usable []*operatorv1.Upstream) *operatorv1.Upstream {
	best := usable[b.random.IntN(len(usable))]
	most := b.depth(best, ask)
	for _, u := range usable {
		if depth := b.depth(u, ask); depth > most {
			best, most = u, depth
		}
	}
	return best
}

func (b *baseline) depth(u *operatorv1.Upstream, ask *routing.Request) int {
	held := b.blocks[u.GetName()]
	for i, hash := range ask.Prefix {
		if !held[hash] {
			return i
		}
	}
	return len(ask.Prefix)
}
