package edgenode

import (
	"net"
	"net/http"

	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/peerfetch"
	"lavenderpin.dev/lavenderpin/presence"
)

// Names of topics between nodes.
const (
	configTopic   = "config"
	upstreamTopic = "upstreams"
)

// operators returns the operators' topic. Its records are the only large ones: a whole
// configuration each.
func (n *Node) operators() keyedlog.Topic {
	return n.shared(configTopic, n.deps.Topics.Operators, false)
}

// upstreams returns the topic of the upstreams' entries. Each is small, but a node that
// starts reads all of them: at 3,000 upstreams the nodes of a region which start together
// would fill the link to the store for half a minute.
func (n *Node) upstreams() keyedlog.Topic {
	return n.shared(upstreamTopic, n.deps.Topics.Upstreams, true)
}

// shared lets the nodes of a data centre fetch a topic's records from each other.
func (n *Node) shared(name string, topic keyedlog.Topic, newestOnly bool) keyedlog.Topic {
	if n.deps.Peers == nil {
		return topic
	}
	return &peerfetch.Topic{Topic: topic, Name: name, Self: n.settings.Node, Peers: n.neighbours, FleetSize: func() int { return len(n.roster.Live()) }, PeersKnown: n.rosterTried, NewestOnly: newestOnly,
		Transport: n.deps.Peers, Replica: n.copies[name], Clock: n.deps.Clock, Events: n.deps.Events}
}

// neighbours returns the nodes of this data centre, this one included.
func (n *Node) neighbours() []peerfetch.Peer {
	var peers []peerfetch.Peer
	for _, r := range n.roster.Live() {
		if r.DataCentre == n.settings.DataCentre && r.PeerAddress != "" {
			peers = append(peers, peerfetch.Peer{Node: r.Node, Address: r.PeerAddress, Capacity: r.Capacity})
		}
	}
	return peers
}

// PeerRoutes answers other nodes.
func (n *Node) PeerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", lending.Handler(n.lender))
	mux.Handle(peerfetch.Path, peerfetch.Handler(n.copies, n.isNode))
	return mux
}

// isNode tells whether a live node has an IP address.
func (n *Node) isNode(ip string) bool {
	for _, r := range n.roster.Live() {
		if hasIP(&r, ip) {
			return true
		}
	}
	return false
}

func hasIP(r *presence.Record, ip string) bool {
	host, _, err := net.SplitHostPort(r.PeerAddress)
	return err == nil && host == ip
}
