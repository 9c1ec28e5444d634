package gateway

import (
	"context"
	"slices"

	"lavenderpin.dev/lavenderpin/directory"
)

// maxAwaits bounds how often a request waits for upstreams that could not be reached.
const maxAwaits = 2

// awaitReachable waits until an upstream that nothing could be sent to can be reached again, if no other
// is left: a sound upstream may be silent for a second and go on. It returns false if there is none.
func (c *call) awaitReachable(ctx context.Context) bool {
	if len(c.unreached) == 0 || c.awaited >= maxAwaits {
		return false
	}
	c.awaited++
	addresses := make([]string, len(c.unreached))
	for i, u := range c.unreached {
		addresses[i] = u.Address
	}
	if !c.g.AwaitReachable(ctx, addresses) {
		return false
	}
	c.tried = slices.DeleteFunc(c.tried, func(t *directory.Upstream) bool { return slices.Contains(c.unreached, t) })
	c.unreached = nil
	return true
}
