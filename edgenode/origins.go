package edgenode

import "lavenderpin.dev/lavenderpin/streamorigin"

// newOrigins returns the registry of where streams began.
func (n *Node) newOrigins() *streamorigin.Registry {
	return streamorigin.NewRegistry(streamorigin.Deps{
		Clock: n.deps.Clock, Events: n.deps.Events, Topic: n.deps.Topics.Streams, Node: n.settings.Node, Incarnation: n.settings.Incarnation,
		Services: n.resumableServices, Versions: n.directory.Versions, Peers: n.originPeers, Transport: n.deps.Origins,
		IsLive: n.roster.IsLive, IsCleaner: (*fleet)(n).IsPlanner,
	})
}

func (n *Node) resumableServices() []string {
	if view := n.catalog.Current(); view != nil {
		return view.ResumableServices()
	}
	return nil
}

// originPeers returns the other nodes, which may know where a stream began.
func (n *Node) originPeers() ([]streamorigin.Peer, bool) {
	if !n.roster.HasRead() {
		return nil, false
	}
	var peers []streamorigin.Peer
	for _, r := range n.roster.Live() {
		if r.Node != n.settings.Node && r.PeerAddress != "" {
			peers = append(peers, streamorigin.Peer{Node: r.Node, Address: r.PeerAddress})
		}
	}
	return peers, true
}

// KnownStreams returns of how many streams this node knows where they began from its own requests.
func (n *Node) KnownStreams() int { return n.origins.Size() }
