package reach

import (
	"context"
	"net"
	"slices"
)

// AllowRegion reports whether a request may pass through the nodes of a region.
type AllowRegion func(region string) bool

type allowRegionKey struct{}

// WithAllowedRegions returns a context in which Dial asks only nodes of allowed regions for a connection.
func WithAllowedRegions(ctx context.Context, allow AllowRegion) context.Context {
	return context.WithValue(ctx, allowRegionKey{}, allow)
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
