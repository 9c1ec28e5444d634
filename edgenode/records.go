package edgenode

import (
	"net"
	"net/http"

	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/peerfetch"
	"lavenderpin.dev/lavenderpin/presence"
)

// configTopic names the operators' topic between nodes.
const configTopic = "config"

// operators returns the operators' topic. Its records are the only large ones: a whole
// configuration each.
func (n *Node) operators() keyedlog.Topic {
	if n.deps.Peers == nil {
		return n.deps.Topics.Operators
	}
	return &peerfetch.Topic{Topic: n.deps.Topics.Operators, Name: configTopic, Self: n.settings.Node, Peers: n.neighbours, Known: n.rosterTried,
		Caller: n.deps.Peers, Copy: n.configs, Clock: n.deps.Clock, Events: n.deps.Events}
}

// neighbours returns the nodes of this data centre, this one included.
func (n *Node) neighbours() []peerfetch.Peer {
	var peers []peerfetch.Peer
	for _, r := range n.roster.Live() {
		if r.DataCentre == n.settings.DataCentre && r.Peer != "" {
			peers = append(peers, peerfetch.Peer{Node: r.Node, Address: r.Peer, Capacity: r.Capacity})
		}
	}
	return peers
}

// PeerRoutes answers other nodes.
func (n *Node) PeerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", lending.Handler(n.lender))
	mux.Handle(peerfetch.Path, peerfetch.Handler(map[string]*peerfetch.Copy{configTopic: n.configs}, n.isNode))
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
	host, _, err := net.SplitHostPort(r.Peer)
	return err == nil && host == ip
}
