package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

// LeastInFlight picks, of two random candidates of the nearest region, the one
// with fewer requests of this node in flight.
type LeastInFlight struct {
	inFlight sync.Map // upstream name -> *atomic.Int64
}

var _ Picker = (*LeastInFlight)(nil)

// Pick implements Picker.
func (p *LeastInFlight) Pick(ask Ask, candidates []*operatorv1.Upstream) (Pick, error) {
	usable := nearest(ask, candidates)
	if len(usable) == 0 {
		return Pick{}, result.New(result.NoUpstream, "no upstream of %s is left to try", ask.Service)
	}
	chosen := usable[rand.IntN(len(usable))]
	other := usable[rand.IntN(len(usable))]
	if p.counter(other).Load() < p.counter(chosen).Load() {
		chosen = other
	}
	counter := p.counter(chosen)
	counter.Add(1)
	return Pick{Upstream: chosen, Done: func(error) { counter.Add(-1) }}, nil
}

func (p *LeastInFlight) counter(u *operatorv1.Upstream) *atomic.Int64 {
	held, _ := p.inFlight.LoadOrStore(u.GetName(), &atomic.Int64{})
	return held.(*atomic.Int64)
}

// nearest keeps the candidates that may take the request, those of the asking
// region if there are any.
func nearest(ask Ask, candidates []*operatorv1.Upstream) []*operatorv1.Upstream {
	var local, remote []*operatorv1.Upstream
	for _, u := range candidates {
		if u.GetDraining() || ask.Tried[u.GetName()] {
			continue
		}
		if u.GetRegion() == ask.Region {
			local = append(local, u)
		} else {
			remote = append(remote, u)
		}
	}
	if len(local) > 0 {
		return local
	}
	return remote
}
