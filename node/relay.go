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
	// withoutLogAfter is how long the log must be silent before a starting node
	// serves with what its peers hold.
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
	n.follower = recordlog.NewSourceFollower(source, n.deps.Clock, engine, n.folded)
	n.follower.OnRestored(n.restored)
	n.relay = relay.NewServer(n.follower, source, n.deps.Clock)
	n.snapshots = snapshot.NewTracker(n.deps.Clock)
}

func relayPeer(m membership.Member) relay.Peer {
	return relay.Peer{
		Incarnation: m.Node.GetIncarnation(), Address: m.Node.GetPeerAddress(),
		Region: m.Node.GetRegion(), DataCentre: m.Node.GetDataCentre(), Offset: m.ConfigOffset,
	}
}

// relayPeers lists the nodes that answer and stay.
func (n *Node) relayPeers() []relay.Peer {
	var peers []relay.Peer
	for _, m := range n.members.All() {
		if !m.Suspect && !m.Draining {
			peers = append(peers, relayPeer(m))
		}
	}
	return peers
}

func (n *Node) answerLogRead(ctx context.Context, r *fleetv1.LogRead, response *fleetv1.Response) {
	slice, err := n.relay.HandleLogRead(ctx, r)
	if err != nil {
		refuse(response, err)
		return
	}
	response.Body = &fleetv1.Response_LogSlice{LogSlice: slice}
}

// restored is told, in the folding goroutine, that the whole state was replaced. An
// incarnation that served before has missed verdicts on its own entries, so that its
// holder and the log may differ on its shares: it ends, and the daemon starts a new
// one. A starting one goes on.
func (n *Node) restored(offset uint64) {
	n.events.Record(event.StateRestored, "offset", offset)
	n.snapshots.HandleRestore(offset)
	n.writer.HandleRestore(n.follower.LastSeq(n.Incarnation()))
	if n.State() != StateStarting {
		n.holder.RevokeRight()
		n.outrunOnce.Do(func() { close(n.outrun) })
	}
}

// opened tells whether a verdict on the node's heartbeat lets it go on. After a
// restored state the verdict itself is lost, and the ledger tells.
func (n *Node) opened(verdict fold.Verdict) bool {
	return verdict.OK() || n.ledger.IsOpen(n.Incarnation())
}

// serveWithoutLog lets a node that starts while the log is out of reach serve once it
// holds the highest configuration that its peers do. It has no share and no right to
// spend then; what needs them is refused by name, or covered by a peer.
func (n *Node) serveWithoutLog(ctx context.Context) {
	started := n.deps.Clock.Now()
	for n.State() == StateStarting && ctx.Err() == nil {
		if n.deps.Clock.Since(started) > withoutLogAfter && n.follower.SinceRead() > withoutLogAfter && n.holdsHighest() {
			n.events.Record(event.ServingWithoutLog, "offset", n.AppliedOffset())
			n.ready()
			return
		}
		select {
		case <-ctx.Done():
		case <-n.deps.Clock.After(withoutLogPoll):
		}
	}
}

// holdsHighest tells whether no peer in reach knows more. A node that reaches none
// doesn't know what is in force.
func (n *Node) holdsHighest() bool {
	peers := n.relayPeers()
	for _, p := range peers {
		if p.Offset > n.AppliedOffset() {
			return false
		}
	}
	return len(peers) > 0 && n.AppliedOffset() > 0
}
