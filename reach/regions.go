package reach

import (
	"context"
	"errors"
	"net"
	"slices"
)

// AllowRegion reports whether a request may pass through the nodes of a region.
type AllowRegion func(region string) bool

// ErrOutsideRegions is returned beside the error of a direct attempt if the request may pass through nodes of some regions
// only, and none of them has a path. It says nothing of the upstream: nodes elsewhere may reach it.
var ErrOutsideRegions = errors.New("no node of an allowed region reaches the upstream")

type allowRegionKey struct{}

// WithAllowedRegions returns a context in which Dial asks only nodes of allowed regions for a connection.
func WithAllowedRegions(ctx context.Context, allow AllowRegion) context.Context {
	return context.WithValue(ctx, allowRegionKey{}, allow)
}

func hasAllowedRegions(ctx context.Context) bool {
	_, limited := ctx.Value(allowRegionKey{}).(AllowRegion)
	return limited
}

// allowedPeers returns the peers through which a request of the context may pass.
func allowedPeers(ctx context.Context, peers []Peer) []Peer {
	allow, limited := ctx.Value(allowRegionKey{}).(AllowRegion)
	if !limited {
		return peers
	}
	return slices.DeleteFunc(peers, func(p Peer) bool { return !allow(p.Region) })
}

// PassesThrough reports whether a connection of a Dialer is direct or relayed by a node of an allowed region.
func PassesThrough(c net.Conn, allow AllowRegion) bool {
	observed, ok := c.(*Conn)
	return !ok || observed.peer == "" || allow(observed.peerRegion)
}
