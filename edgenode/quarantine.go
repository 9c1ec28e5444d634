package edgenode

import (
	"context"
	"net"
	"slices"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/presence"
	"lavenderpin.dev/lavenderpin/quarantine"
)

// newQuarantine returns the guard of this node, and what tells the other nodes; nil if nothing does.
func (n *Node) newQuarantine() (*quarantine.Guard, *quarantine.Spreader) {
	if n.deps.Crashes == nil {
		return quarantine.NewGuard(n.settings.Node, n.deps.Clock, n.deps.Events, nil), nil
	}
	spreader := &quarantine.Spreader{Node: n.settings.Node, DataCentre: n.settings.DataCentre, Events: n.deps.Events, Transport: n.deps.Crashes, Peers: n.quarantinePeers}
	guard := quarantine.NewGuard(n.settings.Node, n.deps.Clock, n.deps.Events, spreader)
	guard.Asker = spreader
	return guard, spreader
}

// startQuarantine starts what keeps in the store what the guard knows, and learns from it.
func (n *Node) startQuarantine(ctx context.Context) {
	if n.spreader != nil {
		n.startLoop(ctx, func(ctx context.Context) {
			<-ctx.Done()
			n.spreader.Stop()
		})
	}
	n.quarantine.IsTrialNode = n.isTrialNode
	if n.deps.Topics.Blocks != nil {
		blocks := &quarantine.BlockStore{Guard: n.quarantine, Topic: n.deps.Topics.Blocks, Wall: clockwork.NewRealClock(), Incarnation: n.settings.Incarnation, OnRead: n.newReadMonitor(quarantine.BlocksTopicName)}
		n.startFollower(ctx, n.deps.Topics.Blocks, blocks, blockReadOptions)
		n.startLoop(ctx, blocks.Run)
	}
	if n.deps.Topics.Crashes != nil {
		keeper := &quarantine.Keeper{Guard: n.quarantine, Topic: n.deps.Topics.Crashes, Wall: clockwork.NewRealClock(), Incarnation: n.settings.Incarnation, NodeCount: n.nodeCount}
		n.startLoop(ctx, keeper.Run)
	}
}

// isTrialNode reports whether this node lets trials of a blocked part through: one of the live nodes does, by a hash.
func (n *Node) isTrialNode(part quarantine.ID) bool {
	nodes := []string{n.settings.Node}
	for _, r := range n.roster.Live() {
		nodes = append(nodes, r.Node)
	}
	return quarantine.TrialNode(part, nodes) == n.settings.Node
}

// quarantinePeers returns the other nodes, also those that were silent for a while: they may serve although they have
// lost the store.
func (n *Node) quarantinePeers() []quarantine.Peer {
	var peers []quarantine.Peer
	for _, r := range n.roster.Holding() {
		if r.Node != n.settings.Node && r.PeerAddress != "" {
			peers = append(peers, quarantine.Peer{Node: r.Node, Address: r.PeerAddress, DataCentre: r.DataCentre, Capacity: r.Capacity})
		}
	}
	return peers
}

// isKnownNode reports whether an address belongs to a node that has a record. A node that has lost the store doesn't
// count as live, but what crashed under its requests counts.
func (n *Node) isKnownNode(remoteAddress string) bool {
	ip, _, err := net.SplitHostPort(remoteAddress)
	return err == nil && slices.ContainsFunc(n.roster.Known(), func(r presence.Record) bool { return hasIP(&r, ip) })
}

// Quarantine returns what tells which requests crash upstreams.
func (n *Node) Quarantine() *quarantine.Guard { return n.quarantine }
