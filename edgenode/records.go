package edgenode

import (
	"net"
	"net/http"

	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/peerfetch"
	"lavenderpin.dev/lavenderpin/presence"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/queuedelay"
	"lavenderpin.dev/lavenderpin/reach"
	"lavenderpin.dev/lavenderpin/streamorigin"
)

// Names of the topics that nodes fetch from each other.
const (
	configTopic   = "config"
	upstreamTopic = "upstreams"
)

// operatorsTopic returns the operators' topic. It is the only one with large records: each is a
// whole configuration.
func (n *Node) operatorsTopic() keyedlog.Topic {
	return n.peerTopic(configTopic, n.deps.Topics.Operators, false)
}

// upstreamsTopic returns the topic of the upstreams' entries. Each is small, but a starting node
// reads all of them: at 3,000 upstreams the nodes of a region that start together would saturate
// the link to the store for half a minute.
func (n *Node) upstreamsTopic() keyedlog.Topic {
	return n.peerTopic(upstreamTopic, n.deps.Topics.Upstreams, true)
}

// peerTopic lets the nodes of a data centre fetch a topic's records from each other.
func (n *Node) peerTopic(name string, topic keyedlog.Topic, newestOnly bool) keyedlog.Topic {
	if n.deps.Peers == nil {
		return topic
	}
	return &peerfetch.Topic{Topic: topic, Name: name, Self: n.settings.Node, Peers: n.dataCentrePeers, FleetSize: func() int { return len(n.roster.Live()) }, PeersKnown: n.firstRosterRead, NewestOnly: newestOnly,
		Transport: n.deps.Peers, Replica: n.copies[name], Clock: n.deps.Clock, Events: n.deps.Events}
}

// dataCentrePeers returns the nodes of this data centre, including this one.
func (n *Node) dataCentrePeers() []peerfetch.Peer {
	var peers []peerfetch.Peer
	for _, r := range n.roster.Live() {
		if r.DataCentre == n.settings.DataCentre && r.PeerAddress != "" {
			peers = append(peers, peerfetch.Peer{Node: r.Node, Address: r.PeerAddress, Capacity: r.Capacity})
		}
	}
	return peers
}

// PeerRoutes returns the handler of requests from other nodes.
func (n *Node) PeerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", lending.Handler(n.lender))
	mux.Handle(queuedelay.Path, queuedelay.Handler())
	mux.Handle(streamorigin.Path, streamorigin.Handler(n.origins))
	if n.spreader != nil {
		mux.Handle(quarantine.Path, quarantine.Handler(n.quarantine, n.spreader, n.isKnownNode))
		mux.Handle(quarantine.AskPath, quarantine.AskHandler(n.quarantine, n.spreader, n.isKnownNode))
	}
	mux.Handle(peerfetch.Path, peerfetch.Handler(n.copies, n.isNodeIP))
	if n.deps.Paths == nil {
		return mux
	}
	return reach.ConnectHandler(n.deps.Paths, n.isNodeIP, mux)
}

// isNodeIP reports whether an IP address belongs to a live node.
func (n *Node) isNodeIP(ip string) bool {
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
