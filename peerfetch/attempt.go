package peerfetch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/internal/periodic"
)

const (
	// roundPause is the least time between two rounds of queries.
	roundPause = 60 * time.Millisecond
	// receivingExtension is how much longer a node waits after a peer said that it receives the records.
	receivingExtension = 500 * time.Millisecond
	// maxReplyDelay is how long a reply may take beside the time for which the peer waits: a node that is short of
	// processor time reads it late. Once one peer has replied, the others are given laterReplyTime.
	maxReplyDelay  = 250 * time.Millisecond
	laterReplyTime = 50 * time.Millisecond
	// firstReaders and otherReaders are how many peers are queried beside the sources before a node
	// turns to the store: those whose timeouts expire first, and others drawn at random.
	firstReaders = 4
	otherReaders = 3
)

// attempt is one attempt to get records from the peers ranked before this node.
type attempt struct {
	topic *Topic
	rank  int
	// ranked holds the peers ranked before this node, in order.
	ranked []Peer
	req    Request

	begun, deadline time.Duration
	// replied counts replies.
	replied atomic.Int64
	// failed holds the peers that had the records but didn't send them.
	failed map[string]bool
}

func newAttempt(t *Topic, rank int, ranked []Peer, req Request) *attempt {
	begun := t.Clock.Now()
	return &attempt{topic: t, rank: rank, ranked: ranked, req: req, begun: begun, deadline: begun + peersTimeout(rank), failed: make(map[string]bool)}
}

func (a *attempt) elapsed() time.Duration { return a.topic.Clock.Now() - a.begun }

// timeLeft returns the time until this node reads the store itself.
func (a *attempt) timeLeft() time.Duration {
	deadline := a.deadline
	if a.replied.Load() == 0 {
		deadline = min(deadline, a.begun+silentPeersTimeout)
	}
	return deadline - a.topic.Clock.Now()
}

// run returns the reply of the first peer that has read far enough and sent its records.
func (a *attempt) run(ctx context.Context, progress func()) (Reply, Peer, bool) {
	for ctx.Err() == nil {
		left := a.timeLeft()
		peers, wait := a.sources(), min(maxPeerWait, left)
		if left <= 0 {
			peers, wait = a.readers(), 0
		}
		started := a.topic.Clock.Now()
		source, found := a.query(ctx, peers, max(0, wait))
		progress()
		if found {
			if reply, ok := a.transfer(ctx, source, progress); ok {
				return reply, source, true
			}
			continue
		}
		if a.timeLeft() <= 0 && left <= 0 {
			break
		}
		periodic.Sleep(ctx, min(max(0, a.timeLeft()), roundPause-(a.topic.Clock.Now()-started)))
	}
	return Reply{}, Peer{}, false
}

// runOnce is like run but waits for no peer.
func (a *attempt) runOnce(ctx context.Context, progress func()) (Reply, Peer, bool) {
	source, found := a.query(ctx, a.readers(), 0)
	progress()
	if !found {
		return Reply{}, Peer{}, false
	}
	reply, ok := a.transfer(ctx, source, progress)
	return reply, source, ok
}

// transfer fetches the records from a peer that has them.
func (a *attempt) transfer(ctx context.Context, source Peer, progress func()) (Reply, bool) {
	reply, err := a.topic.request(ctx, source, a.req, progress)
	if err != nil || reply.Behind {
		a.failed[source.Node] = true
		return Reply{}, false
	}
	return reply, true
}

// sources returns the peers that are queried first.
func (a *attempt) sources() []Peer { return a.usable(sourcesOf(a.ranked)) }

// readers returns the sources and the peers that may have turned to the store already.
func (a *attempt) readers() []Peer {
	others := a.ranked[len(sourcesOf(a.ranked)):]
	first := others[:min(len(others), firstReaders)]
	rest := others[len(first):]
	peers := append(a.sources(), a.usable(first)...)
	for _, i := range rand.Perm(len(rest))[:min(len(rest), otherReaders)] {
		peers = append(peers, a.usable(rest[i:i+1])...)
	}
	return peers
}

func (a *attempt) usable(peers []Peer) []Peer {
	var usable []Peer
	for _, p := range peers {
		if !a.failed[p.Node] {
			usable = append(usable, p)
		}
	}
	return usable
}

// status is a peer's reply to a query.
type status struct {
	peer  Peer
	reply Reply
	err   error
}

// query asks peers at the same time whether they have read far enough, and returns the first one that has. A
// peer waits for that for some time.
func (a *attempt) query(ctx context.Context, peers []Peer, wait time.Duration) (Peer, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+maxReplyDelay)
	defer cancel()
	req := a.req
	req.StatusOnly, req.WaitMs = true, wait.Milliseconds()
	statuses := make(chan status, len(peers))
	for _, p := range peers {
		go func() {
			reply, err := a.topic.Transport.Fetch(ctx, p.Address, req, func() {})
			statuses <- status{p, reply, err}
		}()
	}
	var othersLate <-chan time.Time
	for range peers {
		var s status
		select {
		case s = <-statuses:
		case <-othersLate:
			return Peer{}, false
		}
		if s.err != nil {
			continue
		}
		if othersLate == nil {
			othersLate = time.After(laterReplyTime)
		}
		a.replied.Add(1)
		if !s.reply.Behind {
			return s.peer, true
		}
		if s.reply.Receiving {
			a.extend()
		}
	}
	return Peer{}, false
}

// extend lets a peer that is receiving the records finish: reading them at the same time would delay both.
func (a *attempt) extend() {
	a.deadline = min(a.begun+receivingTimeout, max(a.deadline, a.topic.Clock.Now()+receivingExtension))
}
