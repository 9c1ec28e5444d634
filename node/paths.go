package node

import (
	"context"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/reach"
)

// pathNode is the node as the dialer of its upstreams sees it.
type pathNode struct{ *Node }

var _ reach.Node = pathNode{}

// watchPaths checks the paths to upstreams until ctx ends.
func (n *Node) watchPaths(ctx context.Context) {
	if n.deps.Paths != nil {
		n.deps.Paths.Run(ctx, pathNode{n})
	}
}

// pathsLost reports whether this node has lost most of its paths to upstreams.
func (n *Node) pathsLost() bool { return n.deps.Paths != nil && n.deps.Paths.PathsLost() }

// awaitReachable waits until one of the upstreams at these addresses can be reached again.
func (n *Node) awaitReachable(ctx context.Context, addresses []string) bool {
	return n.deps.Paths != nil && n.deps.Paths.Await(ctx, addresses)
}

// pathSummary returns how upstreams are reached, for metrics.
func (n *Node) pathSummary() reach.Summary {
	if n.deps.Paths == nil {
		return reach.Summary{}
	}
	return n.deps.Paths.Summary()
}

// pathCounters returns the counters of paths, for metrics.
func (n *Node) pathCounters() reach.Values {
	if n.deps.Paths == nil {
		return reach.Values{}
	}
	return n.deps.Paths.Metrics().Values()
}

// Peers returns the other nodes that serve.
func (p pathNode) Peers() []reach.Peer {
	var peers []reach.Peer
	for _, m := range p.members.All() {
		if !m.Usable() {
			continue
		}
		peers = append(peers, reach.Peer{Name: m.Node.GetIncarnation(), Address: m.Node.GetPeerAddress(),
			DataCentre: m.Node.GetDataCentre(), Region: m.Node.GetRegion(), PathsLost: m.PathsLost})
	}
	return peers
}

// Leaving reports whether the node accepts no callers.
func (p pathNode) Leaving() bool { return p.State() != StateServing }

// IsUpstream reports whether an address belongs to an upstream in the configuration.
func (p pathNode) IsUpstream(address string) bool {
	view := p.Config()
	for _, service := range view.Services() {
		for _, u := range view.Upstreams(service.GetName()) {
			if u.GetAddress() == address {
				return true
			}
		}
	}
	return false
}

// PathChanged logs a change.
func (p pathNode) PathChanged(c reach.PathChange) { p.events.Record(event.UpstreamPath, c.Fields()...) }

// MostPathsLost logs that most paths are lost or back, and tells the other nodes.
func (p pathNode) MostPathsLost(lost bool, s reach.Summary) {
	p.events.Record(event.PathsLost, s.Fields(lost)...)
	p.members.Announce()
}
