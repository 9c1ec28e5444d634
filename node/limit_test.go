package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/standin"
	"lavenderpin.dev/lavenderpin/request"
	"lavenderpin.dev/lavenderpin/upstream"
)

// Guards against nodes that together send an upstream more than the limit that it named, and against leaving
// it idle instead, on the embedded fleet.
func TestNodesTogetherKeepToNamedLimit(t *testing.T) {
	const (
		services = 2
		limit    = 5.0 // requests a second
		load     = 60.0
		window   = 4 * time.Second
		duration = 20 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is, random := is.New(t), rand.New(rand.NewPCG(1, 4))
		p := newPathNetwork(t)
		f := p.startFleet(nearRegion, nearRegion, nearRegion)
		p.addServicesWithSlots(f, services, 6)
		for _, s := range p.services {
			capacity := standin.Capacity{Slots: 6, Queue: 30, Work: 10 * time.Millisecond, RequestsPerSecond: limit}
			s.capacity = standin.NewCapacityServer(capacity, standin.CapacityHeaders{Limit: upstream.HeaderLimit})
		}
		var early callCounts
		for _, n := range f.nodes {
			sendCalls(n, &early, time.Second)() // the nodes learn of the limit
		}
		from := time.Now().Add(window)
		var group sync.WaitGroup
		for range int(load * (window + duration).Seconds()) {
			call := request.ServiceCall{Key: "key", Service: "orders", Method: "POST", Path: "/orders", Timeout: 3 * time.Second}
			n := f.nodes[random.IntN(len(f.nodes))]
			group.Go(func() { _, _ = n.Requests().Call(context.Background(), call) })
			time.Sleep(time.Duration(random.ExpFloat64() / load * float64(time.Second)))
		}
		group.Wait()
		for i, s := range p.services {
			most, arrived := s.capacity.MostWithin(window, from), s.capacity.ArrivedSince(from)
			t.Logf("upstream %d: at most %d in 4 s, %.2f of its limit used", i, most, float64(arrived)/(limit*duration.Seconds()))
			is.True(most <= int(1.5*limit*window.Seconds())+5)
			is.True(float64(arrived) >= 0.5*limit*duration.Seconds())
		}
		is.True(f.nodes[0].Events().Counts()[event.UpstreamLimit.Kind().Name] > 0)
		p.checkRanOnce()
	})
}
