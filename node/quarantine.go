package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

// maxUnwrittenNews bounds the entries that wait for the log while it is away; other nodes are told of all.
const maxUnwrittenNews = 256

// crashPublisher tells other nodes which upstreams crashed, directly and through the log: one of the ways works while the
// log is away, the other reaches nodes that start later.
type crashPublisher struct {
	node     *Node
	spreader *quarantine.Spreader
	// unwritten counts the entries that wait for the log.
	unwritten atomic.Int64
}

// Publish implements quarantine.Publisher.
func (p *crashPublisher) Publish(news quarantine.News) <-chan struct{} {
	told := p.spreader.Publish(news)
	ticket := p.write(news)
	if ticket == nil {
		return told
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.awaitWritten(ticket)
		if told != nil {
			<-told
		}
	}()
	return done
}

// awaitWritten waits until an entry is in the log, or the node ends.
func (p *crashPublisher) awaitWritten(ticket *recordlog.Ticket) {
	select {
	case <-ticket.Done():
	case <-p.spreader.Done():
	}
	p.unwritten.Add(-1)
}

// write writes news to the log; it returns nil if too much waits for it.
func (p *crashPublisher) write(news quarantine.News) *recordlog.Ticket {
	if p.unwritten.Add(1) > maxUnwrittenNews {
		p.unwritten.Add(-1)
		return nil
	}
	entry := encodeNews(news)
	entry.Hlc = uint64(p.node.events.Clock().Now())
	return p.node.writer.Submit(&recordv1.Entry{Body: &recordv1.Entry_UpstreamCrashes{UpstreamCrashes: entry}})
}

const (
	// Blocks are written to the log again after this time, by one of the nodes that know of them: a node that starts from a
	// snapshot reads nothing from before it.
	blockRepeatTime   = time.Minute
	blockRepeatSpread = 30 * time.Second
)

// repeatBlocks writes the blocks to the log again from time to time, unless another node has.
func (n *Node) repeatBlocks(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-n.deps.Clock.After(blockRepeatTime + rand.N(blockRepeatSpread)):
		}
		if blocks := n.quarantine.Blocks(); len(blocks) > 0 && n.deps.Clock.Since(time.UnixMilli(n.blocksWritten.Load())) > blockRepeatTime {
			if ticket := n.crashNews.write(quarantine.News{Blocks: blocks}); ticket != nil {
				n.crashNews.awaitWritten(ticket)
			}
		}
	}
}

// isTrialNode reports whether this node lets trials of a blocked part through: one of the members does, by a hash.
func (n *Node) isTrialNode(part quarantine.ID) bool {
	nodes := []string{n.Incarnation()}
	for _, p := range n.quarantinePeers() {
		nodes = append(nodes, p.Node)
	}
	return quarantine.TrialNode(part, nodes) == n.Incarnation()
}

// BlockedParts returns the parts of prompts that are blocked.
func (n *Node) BlockedParts() []quarantine.Block { return n.quarantine.Blocks() }

// LiftPart has requests with a blocked part sent again, by all nodes; it returns false if the part wasn't blocked.
func (n *Node) LiftPart(part, operator string) bool { return n.quarantine.Lift(part, operator) }

// initQuarantine sets up what counts the upstreams that crash under requests.
func (n *Node) initQuarantine() {
	n.crashNews = &crashPublisher{node: n, spreader: &quarantine.Spreader{Node: n.Incarnation(), DataCentre: n.settings.DataCentre, Events: n.events, Transport: crashTransport{n}, Peers: n.quarantinePeers}}
	n.quarantine = quarantine.NewGuard(n.Incarnation(), sinceStart{n.deps.Clock, n.deps.Clock.Now()}, n.events, n.crashNews)
	n.quarantine.IsTrialNode = n.isTrialNode
	n.quarantine.Asker = n.crashNews.spreader
}

// sinceStart reads a clock as the time since the node started.
type sinceStart struct {
	clock clockwork.Clock
	start time.Time
}

// Now implements bootclock.Clock.
func (s sinceStart) Now() time.Duration { return s.clock.Since(s.start) }

// quarantinePeers returns the other nodes.
func (n *Node) quarantinePeers() []quarantine.Peer {
	var peers []quarantine.Peer
	for _, m := range n.members.All() {
		if m.Node.GetIncarnation() != n.Incarnation() && m.Node.GetPeerAddress() != "" {
			peers = append(peers, quarantine.Peer{Node: m.Node.GetIncarnation(), Address: m.Node.GetPeerAddress(), DataCentre: m.Node.GetDataCentre()})
		}
	}
	return peers
}

// crashTransport sends news to other nodes.
type crashTransport struct{ node *Node }

// Tell implements quarantine.Transport.
func (t crashTransport) Tell(ctx context.Context, address string, news quarantine.News) error {
	response, err := t.node.deps.Peers.Call(ctx, address, &fleetv1.Request{From: t.node.Incarnation(), Hlc: uint64(t.node.events.Clock().Now()),
		Body: &fleetv1.Request_UpstreamCrashes{UpstreamCrashes: encodeNews(news)}})
	if err != nil {
		return err
	}
	if code := result.Code(response.GetCode()); code != result.OK {
		return result.New(code, "%s", response.GetMessage())
	}
	return nil
}

// Ask implements quarantine.Transport.
func (t crashTransport) Ask(ctx context.Context, address string, q quarantine.Inquiries) ([]quarantine.Standing, error) {
	response, err := t.node.deps.Peers.Call(ctx, address, &fleetv1.Request{From: t.node.Incarnation(), Hlc: uint64(t.node.events.Clock().Now()),
		Body: &fleetv1.Request_RequestInquiries{RequestInquiries: encodeInquiries(q)}})
	if err != nil {
		return nil, err
	}
	if code := result.Code(response.GetCode()); code != result.OK {
		return nil, result.New(code, "%s", response.GetMessage())
	}
	return decodeStandings(response.GetRequestStandings()), nil
}

// handleRequestInquiries answers what another node asks.
func (n *Node) handleRequestInquiries(from string, inquiries *fleetv1.RequestInquiries) *fleetv1.Response {
	known := quarantine.Answer(n.quarantine, n.crashNews.spreader, decodeInquiries(from, inquiries))
	return &fleetv1.Response{Body: &fleetv1.Response_RequestStandings{RequestStandings: encodeStandings(known)}}
}

// handleUpstreamCrashes counts what another node tells.
func (n *Node) handleUpstreamCrashes(from string, crashes *recordv1.UpstreamCrashes) *fleetv1.Response {
	news := decodeNews(from, crashes)
	n.quarantine.Learn(news)
	if news.PassOn {
		n.crashNews.spreader.PassOn(news)
	}
	return &fleetv1.Response{Body: &fleetv1.Response_UpstreamCrashesNoted{UpstreamCrashesNoted: &fleetv1.UpstreamCrashesNoted{}}}
}

// learnCrashesFromLog counts what a node wrote to the log, which may have been long ago. What a node knows already counts
// once.
func (n *Node) learnCrashesFromLog(batch *recordv1.Batch, crashes *recordv1.UpstreamCrashes) {
	told := event.Timestamp(crashes.GetHlc()).Time()
	if len(crashes.GetBlocks()) > 0 {
		n.blocksWritten.Store(told.UnixMilli())
	}
	n.quarantine.Learn(decodeNews(batch.GetWriter(), crashes).Aged(max(0, n.events.Clock().Now().Time().Sub(told))))
}
