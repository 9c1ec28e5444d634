package reach

import (
	"context"
	"net"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/tcpconn"
)

// Tunneler asks another node for a connection to an upstream.
type Tunneler interface {
	// Tunnel returns a connection through the node at peerAddress. Its end is reported as io.EOF only if
	// the upstream has ended it.
	Tunnel(ctx context.Context, peerAddress, upstreamAddress string) (net.Conn, error)
}

// Node is what a Dialer needs to know of its node, and whom it tells what changes.
type Node interface {
	// Peers returns the other nodes that serve.
	Peers() []Peer
	// Leaving reports whether this node is shutting down.
	Leaving() bool
	// IsUpstream reports whether an address belongs to an upstream.
	IsUpstream(address string) bool
	// PathChanged is called when the way to an upstream has changed. It must not block.
	PathChanged(c PathChange)
	// MostPathsLost is called when most of the paths in use were lost, and when they are back. It must
	// not block.
	MostPathsLost(lost bool, s Summary)
}

// Deps are the dependencies of a Dialer.
type Deps struct {
	Clock bootclock.Clock
	// Dial connects directly.
	Dial    tcpconn.DialFunc
	Tunnels Tunneler
}

// PathChange describes a change of the way to an upstream.
type PathChange struct {
	Address    string
	Mode, From Mode
	// Peer is the node that relays; empty unless Mode is Relayed.
	Peer string
	// Cause is why the direct path is taken for cut; empty if Mode is Direct.
	Cause Cause
}
