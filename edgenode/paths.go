package edgenode

import (
	"context"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/reach"
)

// pathNode is the node as its Dialer sees it.
type pathNode Node

var _ reach.Node = (*pathNode)(nil)

// Peers returns the other nodes that serve.
func (n *pathNode) Peers() []reach.Peer {
	live := n.roster.Live()
	peers := make([]reach.Peer, 0, len(live))
	for i := range live {
		if r := &live[i]; r.Node != n.settings.Node && r.PeerAddress != "" {
			peers = append(peers, reach.Peer{Name: r.Node, Address: r.PeerAddress, DataCentre: r.DataCentre, Region: r.Region, PathsLost: r.PathsLost})
		}
	}
	return peers
}

// Leaving reports whether the node is shutting down.
func (n *pathNode) Leaving() bool { return n.leaving.Load() }

// IsUpstream reports whether an address belongs to an upstream.
func (n *pathNode) IsUpstream(address string) bool { return n.directory.HasAddress(address) }

// PathChanged logs a change and drops what requests on the earlier path seemed to tell of the
// upstream.
func (n *pathNode) PathChanged(c reach.PathChange) {
	if c.Mode != reach.Unreachable {
		n.directory.PathChanged(c.Address)
	}
	n.deps.Events.Record(event.UpstreamPath, c.Fields()...)
}

// MostPathsLost logs that most paths are lost or back. The announcer tells the other nodes.
func (n *pathNode) MostPathsLost(lost bool, s reach.Summary) {
	n.deps.Events.Record(event.PathsLost, s.Fields(lost)...)
}

// pathsLost reports whether this node has lost most of its paths to upstreams.
func (n *Node) pathsLost() bool { return n.deps.Paths != nil && n.deps.Paths.PathsLost() }

// awaitReachable waits until one of the upstreams at these addresses can be reached again.
func (n *Node) awaitReachable(ctx context.Context, addresses []string) bool {
	return n.deps.Paths != nil && n.deps.Paths.Await(ctx, addresses)
}

// isRelayed reports whether an upstream is reached through another node.
func (n *Node) isRelayed(address string) bool {
	return n.deps.Paths != nil && n.deps.Paths.Mode(address) == reach.Relayed
}
