package peerfetch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/internal/stall"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

const (
	// fewest is how many nodes a data centre must have for its nodes to fetch from each other:
	// below it, three copies at most cross the link.
	fewest = 4
	// asked is how many nodes of a data centre the others fetch from.
	asked = 2
	// look is the mean time between two questions where the log ends; it varies by a quarter.
	look = 850 * time.Millisecond
	// endTimeout bounds such a question: several round trips between regions.
	endTimeout = 500 * time.Millisecond
	// peerWait is how long a peer may wait for what it was asked for.
	peerWait = 250 * time.Millisecond
	// peerTimeout bounds the time until a peer's reply begins, and that in which nothing of
	// it arrives.
	peerTimeout = peerWait + 250*time.Millisecond
	// peerPause is the pause between two rounds of asks.
	peerPause = 60 * time.Millisecond
	// longestRound is how long a round takes if no peer answers.
	longestRound = asked*peerTimeout + peerPause
	// secondPatience is how long the node that ranks second tries peers before it reads the
	// store itself.
	secondPatience = 300 * time.Millisecond
	// laterPatience is how long the next ones try, placePatience is added for each place up to
	// mostPatience: the second node's reading shall reach them before they fill the link.
	laterPatience = 700 * time.Millisecond
	placePatience = 50 * time.Millisecond
	mostPatience  = 1200 * time.Millisecond
	// arrivingPatience bounds the patience with a peer that is receiving the records itself:
	// asking the store for them beside it would delay both.
	arrivingPatience = 5 * time.Second
	// knownPatience is how long a starting node waits until it knows its peers.
	knownPatience = time.Second
	// peersLook is how often it looks for them: a small part of what it takes to hear of one.
	peersLook = 20 * time.Millisecond
	// manyRecords is the length of a log, in records, from which on a node waits for peers
	// though nobody has been heard of: reading it takes longer than to hear of them.
	manyRecords = 1000
	// manyNodes is how many nodes a fleet has from which on a node waits for peers though
	// fewer than fewest of its data centre are known: a small fleet has no more.
	manyNodes = 3 * fewest
)

// Topic reads a topic of the store with the help of peers.
type Topic struct {
	keyedlog.Topic
	Name string
	// Self is this node's name, Peers returns the nodes of its data centre, itself included.
	Self  string
	Peers func() []Peer
	// FleetSize returns how many nodes are known in all.
	FleetSize func() int
	// PeersKnown is closed once the peers were read for the first time, or couldn't be.
	PeersKnown <-chan struct{}
	// NewestOnly leaves it to the store what follows the newest records: for topics whose
	// records are small, and many only together.
	NewestOnly bool

	Transport Transport
	Replica   *Replica
	Clock     bootclock.Clock
	Events    *event.Recorder
}

// Newest reads the newest records from peers that are up to date, or from the store.
func (t *Topic) Newest(ctx context.Context, progress func()) ([]keyedlog.Record, int64, error) {
	if t.awaitPeers(ctx) && t.NewestOnly {
		t.awaitMorePeers(ctx)
	}
	if place, sources := rank(t.Self, t.Peers()); place > 0 {
		reply, ok, err := t.newestOfPeers(ctx, place, sources, progress)
		if err != nil {
			return nil, 0, err
		}
		if ok {
			t.Replica.Reset(reply.Records, reply.Next)
			return reply.Records, reply.Next, nil
		}
	}
	records, next, err := t.Replica.receive(progress, func(progress func()) ([]keyedlog.Record, int64, error) {
		return t.Topic.Newest(ctx, progress)
	})
	if err == nil {
		t.Replica.Reset(records, next)
	}
	return records, next, err
}

// newestOfPeers returns what peers hold; false leaves it to the store.
func (t *Topic) newestOfPeers(ctx context.Context, place int, sources []Peer, progress func()) (Reply, bool, error) {
	end, err := t.startAt(ctx)
	progress()
	if err == nil {
		reply, ok := t.fetch(ctx, place, sources, Request{From: -1, End: end}, progress)
		return reply, ok, nil
	}
	if reply, ok := t.newer(ctx, sources, Request{From: -1, End: t.Replica.Next() + 1}, progress); ok {
		return reply, true, nil
	}
	return Reply{}, false, err
}

// startAt returns how far a peer must have read for its newest records to be taken. A node that
// has read nothing yet takes whatever a peer has, and asks the store afterwards: while all
// nodes start, the answer would wait behind what they all read.
func (t *Topic) startAt(ctx context.Context) (int64, error) {
	if t.Replica.Next() < 0 {
		return 0, nil
	}
	return t.end(ctx)
}

// awaitPeers waits until the peers are known and tells whether they are. After a power loss of all, nodes that began to
// read before they knew them would each take a copy of their own.
func (t *Topic) awaitPeers(ctx context.Context) bool {
	timer := time.NewTimer(knownPatience)
	defer timer.Stop()
	select {
	case <-t.PeersKnown:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// awaitMorePeers waits while peers that will be known soon aren't: in a fleet that starts for
// the first time nobody is known before the nodes have written their first records. The
// records are many, so each node that doesn't wait costs much of a link.
func (t *Topic) awaitMorePeers(ctx context.Context) {
	isLong := sync.OnceValue(func() bool { return t.isLong(ctx) })
	for begun := t.Clock.Now(); ctx.Err() == nil && t.Clock.Now()-begun < knownPatience && t.expectsPeers(isLong); {
		periodic.Pause(ctx, peersLook)
	}
}

// isLong tells whether the log is long enough to wait for peers that nobody has heard of. If
// the store doesn't answer, the reading itself tells so.
func (t *Topic) isLong(ctx context.Context) bool {
	end, err := t.end(ctx)
	return err == nil && end >= manyRecords
}

// expectsPeers tells whether more peers will be known soon: this node's own record isn't read
// back yet, which is when peers begin to answer it, or too few of its data centre are known.
// A small fleet has no more, and must not wait for them.
func (t *Topic) expectsPeers(isLong func() bool) bool {
	peers := t.Peers()
	if len(peers) >= fewest {
		return !slices.ContainsFunc(peers, func(p Peer) bool { return p.Node == t.Self })
	}
	if len(peers) > 0 {
		return t.FleetSize() >= manyNodes
	}
	return isLong()
}

// Read reads from an offset on.
func (t *Topic) Read(ctx context.Context, from int64, wait time.Duration, progress func()) ([]keyedlog.Record, int64, error) {
	place, sources := rank(t.Self, t.Peers())
	if place > 0 && !t.NewestOnly {
		end, err := t.end(ctx)
		progress()
		if err != nil {
			if reply, ok := t.newer(ctx, sources, Request{From: from, End: from + 1}, progress); ok {
				return t.extend(from, reply)
			}
			return nil, 0, err
		}
		if end == from {
			periodic.Pause(ctx, min(wait, look*3/4+rand.N(look/2)))
			return nil, from, ctx.Err()
		}
		// An end before what was read is stale; a reading of the store waits for news.
		if end > from {
			if reply, ok := t.fetch(ctx, place, sources, Request{From: from, End: end}, progress); ok {
				return t.extend(from, reply)
			}
		}
	}
	records, next, err := t.Replica.receive(progress, func(progress func()) ([]keyedlog.Record, int64, error) {
		return t.Topic.Read(ctx, from, wait, progress)
	})
	if err == nil {
		t.Replica.Extend(from, records, next)
	}
	return records, next, err
}

// extend takes over what a peer has since an offset.
func (t *Topic) extend(from int64, reply Reply) ([]keyedlog.Record, int64, error) {
	if reply.Incomplete {
		return nil, 0, keyedlog.ErrOffsetExpired
	}
	t.Replica.Extend(from, reply.Records, reply.Next)
	return reply.Records, reply.Next, nil
}

func (t *Topic) end(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	return t.Topic.End(ctx)
}

// newer asks each peer once for more than is known. A node that can't ask the store, since it is cut off or its link is
// full, takes what its peers have learned meanwhile.
func (t *Topic) newer(ctx context.Context, sources []Peer, ask Request, progress func()) (Reply, bool) {
	ask.Topic = t.Name
	for _, source := range sources {
		if reply, err := t.ask(ctx, source, ask, progress); err == nil && !reply.Behind {
			t.Events.Record(event.RecordsFetched, "topic", t.Name, "peer", source.Node, "end", reply.Next, "records", len(reply.Records), "store", false)
			return reply, true
		}
	}
	return Reply{}, false
}

// fetch asks peers until one is far enough or the patience is over.
func (t *Topic) fetch(ctx context.Context, place int, sources []Peer, ask Request, progress func()) (Reply, bool) {
	ask.Topic, ask.WaitMs = t.Name, peerWait.Milliseconds()
	begun := t.Clock.Now()
	until := begun + patience(place)
	first := rand.N(len(sources))
	for t.Clock.Now() < until && ctx.Err() == nil {
		for i := range sources {
			source := sources[(first+i)%len(sources)]
			reply, err := t.ask(ctx, source, ask, progress)
			if err == nil && reply.Receiving {
				until = min(begun+arrivingPatience, max(until, t.Clock.Now()+longestRound))
			}
			if err != nil || reply.Behind {
				continue
			}
			t.Events.Record(event.RecordsFetched, "topic", t.Name, "peer", source.Node, "end", ask.End, "records", len(reply.Records), "ms", (t.Clock.Now() - begun).Milliseconds())
			return reply, true
		}
		progress()
		periodic.Pause(ctx, peerPause)
	}
	t.Events.Record(event.RelayFailed, "topic", t.Name, "peers", len(sources), "end", ask.End, "ms", (t.Clock.Now() - begun).Milliseconds())
	return Reply{}, false
}

func (t *Topic) ask(ctx context.Context, source Peer, ask Request, progress func()) (Reply, error) {
	limited, arriving, cancel := stall.Limit(ctx, peerTimeout, peerTimeout)
	defer cancel()
	return t.Transport.Fetch(limited, source.Address, ask, func() {
		arriving()
		progress()
	})
}

// patience is how long a node tries peers before it reads the store itself.
func patience(place int) time.Duration {
	if place == 1 {
		return secondPatience
	}
	return min(mostPatience, laterPatience+time.Duration(place)*placePatience)
}
