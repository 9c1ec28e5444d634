package gateway

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/catalog"
)

// A node that has just started has no configuration and no tokens for a few tenths of a second.
// When a whole fleet restarts, a caller that is refused retries at another node in the same
// state, and has then used up its only retry.

const (
	// objectiveDivisor divides a route's objective into the longest wait for a first grant.
	objectiveDivisor = 3
	// timeLeftDivisor divides the caller's remaining time into the longest wait for a
	// configuration; the objective is not known before.
	timeLeftDivisor = 4
)

// awaitConfig returns the configuration in force. It waits briefly for the first one and for the
// first list of upstreams, and returns nil if no configuration arrived.
func (g *Gateway) awaitConfig(ctx context.Context, timeLeft time.Duration) *catalog.View {
	if view := g.Catalog.Current(); view != nil {
		return view
	}
	ctx, cancel := context.WithTimeout(ctx, min(g.settings.StartupWait, timeLeft/timeLeftDivisor))
	defer cancel()
	for _, known := range []<-chan struct{}{g.Catalog.Ready(), g.Directory.Synced()} {
		select {
		case <-known:
		case <-ctx.Done():
		}
	}
	return g.Catalog.Current()
}

// awaitTokens waits briefly until the node knows any tokens of the account, its own or another
// node's.
func (c *call) awaitTokens(ctx context.Context) {
	if c.g.Share.Granted() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(c.g.settings.StartupWait, c.route.Objective/objectiveDivisor))
	defer cancel()
	c.g.AwaitTokens(ctx, c.account.Name)
}
