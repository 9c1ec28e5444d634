package gateway

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/catalog"
)

// A node that has just started knows no configuration and holds no tokens for some tenths of
// a second. When a whole fleet comes back, a caller that is refused then comes back to
// another node in the same state, and has used up its one try.

const (
	// objectivePart divides a route's objective into the longest wait for a first grant.
	objectivePart = 3
	// timeLeftPart divides the caller's time into the longest wait for a configuration,
	// before which no objective is known.
	timeLeftPart = 4
)

// awaitConfig returns the configuration in force, and waits a moment for the first one and
// for the first list of upstreams. Nil tells that no configuration came.
func (g *Gateway) awaitConfig(ctx context.Context, timeLeft time.Duration) *catalog.View {
	if view := g.Catalog.Current(); view != nil {
		return view
	}
	ctx, cancel := context.WithTimeout(ctx, min(g.settings.StartupWait, timeLeft/timeLeftPart))
	defer cancel()
	for _, known := range []<-chan struct{}{g.Catalog.Ready(), g.Directory.Synced()} {
		select {
		case <-known:
		case <-ctx.Done():
		}
	}
	return g.Catalog.Current()
}

// awaitFirstGrant waits a moment for the node's first grant.
func (c *call) awaitFirstGrant(ctx context.Context) {
	if c.g.Share.Granted() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(c.g.settings.StartupWait, c.route.Objective/objectivePart))
	defer cancel()
	select {
	case <-c.g.Share.FirstGrant():
	case <-ctx.Done():
	}
}
