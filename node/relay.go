package node

import (
	"context"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/fold"
	"lavenderpin.dev/lavenderpin/membership"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/relay"
	"lavenderpin.dev/lavenderpin/snapshot"
)

const (
	// withoutLogAfter is how long the log must be unreachable before a starting node
	// serves with its peers' configuration.
	withoutLogAfter = 5 * time.Second
	withoutLogPoll  = 500 * time.Millisecond
)

func (n *Node) newFollower(engine *fold.Engine) {
	source := &relay.Source{
		Self:   relayPeer(membership.Member{Node: n.info}),
		Log:    recordlog.NewLogSource(n.deps.Log, n.settings.Stream),
		Caller: n.deps.Peers,
		Clock:  n.deps.Clock,
		Events: n.events,
		Peers:  n.relayPeers,
	}
	n.follower = recordlog.NewSourceFollower(source, n.deps.Clock, engine, n.batchApplied)
	n.follower.OnRestored(n.stateRestored)
	n.relay = relay.NewServer(n.follower, source, n.deps.Clock)
	n.snapshots = snapshot.NewTracker(n.deps.Clock)
}

func relayPeer(m membership.Member) relay.Peer {
	return relay.Peer{
		Incarnation: m.Node.GetIncarnation(), Address: m.Node.GetPeerAddress(),
		Region: m.Node.GetRegion(), DataCentre: m.Node.GetDataCentre(), Offset: m.ConfigOffset,
	}
}

// relayPeers returns the members that are neither suspected nor draining.
func (n *Node) relayPeers() []relay.Peer {
	var peers []relay.Peer
	for _, m := range n.members.All() {
		if !m.Suspect && !m.Draining {
			peers = append(peers, relayPeer(m))
		}
	}
	return peers
}

func (n *Node) handleLogRead(ctx context.Context, r *fleetv1.LogRead, response *fleetv1.Response) {
	slice, err := n.relay.HandleLogRead(ctx, r)
	if err != nil {
		setError(response, err)
		return
	}
	response.Body = &fleetv1.Response_LogSlice{LogSlice: slice}
}

// stateRestored is called, in the goroutine that applies batches, when a snapshot has replaced
// the whole state. An incarnation that served before has missed verdicts on its own entries, so
// its share holder and the log may disagree about its shares: it ends, and the daemon starts a
// new one. A starting incarnation continues.
func (n *Node) stateRestored(offset uint64) {
	n.events.Record(event.StateRestored, "offset", offset)
	n.snapshots.HandleRestore(offset)
	n.writer.HandleRestore(n.follower.LastSeq(n.Incarnation()))
	if n.State() != StateStarting {
		n.holder.RevokeRight()
		n.stateReplacedOnce.Do(func() { close(n.stateReplaced) })
	}
}

// incarnationOpen reports whether the node may continue after a verdict on its heartbeat. If the
// state was restored from a snapshot the verdict is lost, and the ledger decides.
func (n *Node) incarnationOpen(verdict fold.Verdict) bool {
	return verdict.OK() || n.ledger.IsOpen(n.Incarnation())
}

// serveWithoutLog lets a node that starts while the log is unreachable serve once it holds the
// newest configuration among its peers. It then has no shares and no right to spend: requests
// that need them are refused with the matching result code or covered by a peer.
func (n *Node) serveWithoutLog(ctx context.Context) {
	started := n.deps.Clock.Now()
	for n.State() == StateStarting && ctx.Err() == nil {
		if n.deps.Clock.Since(started) > withoutLogAfter && n.follower.SinceRead() > withoutLogAfter && n.upToDateWithPeers() {
			n.events.Record(event.ServingWithoutLog, "offset", n.AppliedOffset())
			n.startServing()
			return
		}
		select {
		case <-ctx.Done():
		case <-n.deps.Clock.After(withoutLogPoll):
		}
	}
}

// upToDateWithPeers reports whether no reachable peer has applied a higher offset. A node that
// reaches no peer can't know which configuration is in force.
func (n *Node) upToDateWithPeers() bool {
	peers := n.relayPeers()
	for _, p := range peers {
		if p.Offset > n.AppliedOffset() {
			return false
		}
	}
	return len(peers) > 0 && n.AppliedOffset() > 0
}
