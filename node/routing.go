package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/routing/health"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	// loadInterval is the time between two reads of a local engine's load.
	loadInterval = 500 * time.Millisecond
	// remoteLoadEvery: engines of other regions are read only in every fourth round, as
	// those reads cross the link that is billed by volume.
	remoteLoadEvery = 4
	loadTimeout     = time.Second
	// maxLoadReaders bounds the number of concurrent reads.
	maxLoadReaders = 16
)

// newBalancer returns the balancer that picks upstreams for requests.
func (n *Node) newBalancer() *routing.Balancer {
	return routing.NewBalancer(routing.DefaultSettings(), n.deps.Clock, rand.Uint64, n.healthChanged)
}

func (n *Node) healthChanged(upstream string, state health.State) {
	number := map[health.State]event.Number{
		health.Open: event.UpstreamUnhealthy, health.HalfOpen: event.UpstreamProbed, health.Closed: event.UpstreamHealthy,
	}[state]
	n.events.Record(number, "upstream", upstream)
}

// readLoads reads the engines' loads and cache events until ctx is done. A failed read doesn't
// count against an engine's health; only its responses to requests do.
func (n *Node) readLoads(ctx context.Context) {
	round := 0
	periodic.Run(ctx, n.deps.Clock, loadInterval, func(ctx context.Context) {
		n.readLoadRound(ctx, round%remoteLoadEvery == 0)
		round++
	})
}

func (n *Node) readLoadRound(ctx context.Context, remote bool) {
	readers := make(chan struct{}, maxLoadReaders)
	var wg sync.WaitGroup
	for _, u := range n.engineUpstreams() {
		if u.GetRegion() != n.settings.Region && !remote {
			continue
		}
		readers <- struct{}{}
		wg.Go(func() {
			defer func() { <-readers }()
			n.readLoad(ctx, u)
		})
	}
	wg.Wait()
}

// engineUpstreams returns the engines in the configuration. Plain services aren't queried for
// load: some of them treat any call as one that must not be repeated.
func (n *Node) engineUpstreams() []*operatorv1.Upstream {
	view := n.Config()
	var engines []*operatorv1.Upstream
	for _, service := range view.Services() {
		if service.GetKind() == operatorv1.ServiceKind_SERVICE_KIND_ENGINE {
			engines = append(engines, view.Upstreams(service.GetName())...)
		}
	}
	return engines
}

func (n *Node) readLoad(ctx context.Context, u *operatorv1.Upstream) {
	ctx, cancel := clockwork.WithTimeout(ctx, n.deps.Clock, loadTimeout)
	defer cancel()
	reader := upstream.LoadReader{Client: n.upstreams}
	if report, err := reader.Load(ctx, u); err == nil {
		n.balancer.Report(u.GetService(), u.GetName(), report)
	}
	if u.GetRegion() != n.settings.Region {
		return
	}
	after := n.balancer.LastEvent(u.GetService(), u.GetName())
	if events, err := reader.CacheEvents(ctx, u, after); err == nil {
		n.balancer.CacheEvents(u.GetService(), u.GetName(), events)
	}
}
