package peerfetch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
	"lavenderpin.dev/lavenderpin/internal/stall"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

const (
	// minPeers is how many nodes a data centre must have for its nodes to fetch from each other:
	// with fewer, at most three copies cross the link.
	minPeers = 4
	// sourceCount is how many nodes of a data centre the others fetch from first.
	sourceCount = 2
	// endPollInterval is the mean interval between queries for the end of the log; it is
	// jittered by a quarter.
	endPollInterval = 850 * time.Millisecond
	// endTimeout bounds such a query: several round trips between regions.
	endTimeout = 500 * time.Millisecond
	// maxPeerWait bounds how long a peer may wait for the requested records.
	maxPeerWait = 250 * time.Millisecond
	// peerTimeout bounds the time until a peer's reply starts, and any pause while it arrives.
	peerTimeout = maxPeerWait + 250*time.Millisecond
	// secondNodeTimeout is how long the node ranked second tries peers before it reads the store
	// itself.
	secondNodeTimeout = 300 * time.Millisecond
	// laterNodeTimeout is the same for the node ranked third, and timeoutPerRank is added for each
	// rank after it, up to maxPeersTimeout. One after the other, the nodes notice that another one is
	// already reading. All at once, their copies would fill the link to the store.
	laterNodeTimeout = 700 * time.Millisecond
	timeoutPerRank   = 50 * time.Millisecond
	maxPeersTimeout  = 2 * time.Second
	// silentPeersTimeout bounds the time while no peer replies: this node may be the one that is cut off.
	silentPeersTimeout = 1200 * time.Millisecond
	// receivingTimeout bounds the wait for a peer that is receiving the records itself: reading
	// them from the store at the same time would delay both.
	receivingTimeout = 5 * time.Second
	// peersKnownTimeout is how long a starting node waits until its peers are known.
	peersKnownTimeout = time.Second
	// peersPollInterval is how often it checks for them: a small part of the time it takes to
	// hear from one.
	peersPollInterval = 20 * time.Millisecond
	// longLogRecords is the log length, in records, from which a node waits for peers although
	// it has heard from none: reading such a log takes longer than hearing from peers.
	longLogRecords = 1000
	// largeFleetNodes is the fleet size from which a node waits for peers although fewer than
	// minPeers of its data centre are known: a small fleet has no more.
	largeFleetNodes = 3 * minPeers
)

// Topic reads a topic of the store with the help of peers.
type Topic struct {
	keyedlog.Topic
	Name string
	// Self is this node's name. Peers returns the nodes of its data centre, including itself.
	Self  string
	Peers func() []Peer
	// FleetSize returns the number of known nodes in the fleet.
	FleetSize func() int
	// PeersKnown is closed once the peers were read for the first time, or could not be read.
	PeersKnown <-chan struct{}
	// NewestOnly fetches only the newest records from peers and reads later ones from the store,
	// for topics whose records are small and are large only in total.
	NewestOnly bool

	Transport Transport
	Replica   *Replica
	Clock     bootclock.Clock
	Events    *event.Recorder

	// storeNext is set if the next read goes to the store, since the peers were behind.
	storeNext bool
	// behindSince is when this node learned that the log holds newer records than it has read, by
	// Clock; zero if it knows of none. A read that was given up may still be running beside the next.
	behindSince atomic.Int64
}

// Newest reads the newest records from peers that are up to date, or from the store.
func (t *Topic) Newest(ctx context.Context, progress func()) ([]keyedlog.Record, int64, error) {
	if t.awaitPeers(ctx) && t.NewestOnly {
		t.awaitMorePeers(ctx)
	}
	if rank, ranked := rankNode(t.Self, t.Peers()); rank > 0 {
		reply, ok, err := t.newestFromPeers(ctx, rank, ranked, progress)
		if err != nil {
			return nil, 0, err
		}
		if ok {
			t.Replica.Reset(reply.Records, reply.Next)
			return reply.Records, reply.Next, nil
		}
	}
	records, next, err := t.readStore(progress, func(progress func()) ([]keyedlog.Record, int64, error) {
		return t.Topic.Newest(ctx, progress)
	})
	if err == nil {
		t.Replica.Reset(records, next)
	}
	return records, next, err
}

// readStore reads records from the store and logs what it brought, since each such read of a large
// record crosses the link to the store once more.
func (t *Topic) readStore(progress func(), read readFunc) ([]keyedlog.Record, int64, error) {
	begun, firstPart := t.Clock.Now(), time.Duration(0)
	records, next, err := t.Replica.trackRead(t.behindSince.Load() != 0, func() {
		if firstPart == 0 {
			firstPart = t.Clock.Now()
		}
		progress()
	}, read)
	if err == nil && len(records) > 0 && !t.NewestOnly {
		now := t.Clock.Now()
		t.Events.Record(event.RecordsRead, "topic", t.Name, "end", next, "records", len(records), "bytes", sizeOf(records),
			"ms", (now - begun).Milliseconds(), "arriving_ms", (now - firstPart).Milliseconds(), "behind_ms", t.caughtUp().Milliseconds())
	}
	return records, next, err
}

// noteEnd records that the log ends at an offset; next is the first offset that wasn't read.
func (t *Topic) noteEnd(end, next int64) {
	if end > next {
		t.behindSince.CompareAndSwap(0, int64(t.Clock.Now()))
	}
}

// caughtUp records that newer records were read, and returns for how long the node knew of them.
func (t *Topic) caughtUp() time.Duration {
	since := time.Duration(t.behindSince.Swap(0))
	if since == 0 {
		return 0
	}
	return t.Clock.Now() - since
}

func sizeOf(records []keyedlog.Record) int {
	bytes := 0
	for i := range records {
		bytes += len(records[i].Value)
	}
	return bytes
}

// newestFromPeers returns the records that peers hold; false means to read the store.
func (t *Topic) newestFromPeers(ctx context.Context, rank int, ranked []Peer, progress func()) (Reply, bool, error) {
	end, err := t.requiredEnd(ctx)
	progress()
	if err == nil {
		t.noteEnd(end, t.Replica.Next())
		reply, ok := t.fetch(ctx, rank, ranked, Request{From: -1, End: end}, progress)
		if !ok {
			reply, ok = t.fetchPartial(ctx, rank, ranked, Request{From: -1, End: t.Replica.Next() + 1}, progress)
		}
		return reply, ok, nil
	}
	if reply, ok := t.fetchNewer(ctx, rank, ranked, Request{From: -1, End: t.Replica.Next() + 1}, progress); ok {
		return reply, true, nil
	}
	return Reply{}, false, err
}

// requiredEnd returns the offset up to which a peer must have read. A node that has read nothing
// yet accepts whatever a peer has and queries the store afterwards: while all nodes start, the
// store's response would queue behind everything that they read.
func (t *Topic) requiredEnd(ctx context.Context) (int64, error) {
	if t.Replica.Next() < 0 {
		return 0, nil
	}
	return t.logEnd(ctx)
}

// awaitPeers waits until the peers are known and reports whether they are. After a power loss of
// the whole fleet, nodes that started to read before would each read their own copy.
func (t *Topic) awaitPeers(ctx context.Context) bool {
	timer := time.NewTimer(peersKnownTimeout)
	defer timer.Stop()
	select {
	case <-t.PeersKnown:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// awaitMorePeers waits while more peers are expected: when a fleet starts for the first time,
// none is known before the nodes have written their first records. The records are many, so each
// node that does not wait uses much of a link.
func (t *Topic) awaitMorePeers(ctx context.Context) {
	logIsLong := sync.OnceValue(func() bool { return t.logIsLong(ctx) })
	for begun := t.Clock.Now(); ctx.Err() == nil && t.Clock.Now()-begun < peersKnownTimeout && t.expectsMorePeers(logIsLong); {
		periodic.Sleep(ctx, peersPollInterval)
	}
}

// logIsLong reports whether the log is long enough to wait for peers that nobody has heard from.
// If the store does not respond, the read that follows reports the error.
func (t *Topic) logIsLong(ctx context.Context) bool {
	end, err := t.logEnd(ctx)
	return err == nil && end >= longLogRecords
}

// expectsMorePeers reports whether more peers will be known soon: either this node's own record
// has not been read back yet, which is when peers start to serve it, or too few nodes of its
// data centre are known. A small fleet has no more, and must not wait for them.
func (t *Topic) expectsMorePeers(logIsLong func() bool) bool {
	peers := t.Peers()
	if len(peers) >= minPeers {
		return !slices.ContainsFunc(peers, func(p Peer) bool { return p.Node == t.Self })
	}
	if len(peers) > 0 {
		return t.FleetSize() >= largeFleetNodes
	}
	return logIsLong()
}

// Read reads from an offset on.
func (t *Topic) Read(ctx context.Context, from int64, wait time.Duration, progress func()) ([]keyedlog.Record, int64, error) {
	rank, ranked := rankNode(t.Self, t.Peers())
	skipPeers := t.storeNext
	t.storeNext = false
	if rank > 0 && !t.NewestOnly && !skipPeers {
		end, err := t.logEnd(ctx)
		progress()
		if err != nil {
			if reply, ok := t.fetchNewer(ctx, rank, ranked, Request{From: from, End: from + 1}, progress); ok {
				return t.applyReply(from, reply)
			}
			return nil, 0, err
		}
		if end == from {
			periodic.Sleep(ctx, min(wait, endPollInterval*3/4+rand.N(endPollInterval/2)))
			return nil, from, ctx.Err()
		}
		// An end before from is stale; reading the store waits for new records.
		if end > from {
			t.noteEnd(end, from)
			reply, ok := t.fetch(ctx, rank, ranked, Request{From: from, End: end}, progress)
			if !ok {
				reply, ok = t.fetchPartial(ctx, rank, ranked, Request{From: from, End: from + 1}, progress)
			}
			if ok {
				return t.applyReply(from, reply)
			}
		}
	}
	records, next, err := t.readStore(progress, func(progress func()) ([]keyedlog.Record, int64, error) {
		return t.Topic.Read(ctx, from, wait, progress)
	})
	if err == nil {
		t.Replica.Extend(from, records, next)
	}
	return records, next, err
}

// applyReply adds a peer's records since an offset.
func (t *Topic) applyReply(from int64, reply Reply) ([]keyedlog.Record, int64, error) {
	if reply.Incomplete {
		return nil, 0, keyedlog.ErrOffsetExpired
	}
	t.Replica.Extend(from, reply.Records, reply.Next)
	return reply.Records, reply.Next, nil
}

func (t *Topic) logEnd(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	return t.Topic.End(ctx)
}

// fetchNewer asks the peers once for newer records than those known. A node that cannot query
// the store, because it is partitioned or its link is saturated, takes what its peers have
// learned meanwhile.
func (t *Topic) fetchNewer(ctx context.Context, rank int, ranked []Peer, req Request, progress func()) (Reply, bool) {
	req.Topic = t.Name
	reply, source, ok := newAttempt(t, rank, ranked, req).runOnce(ctx, progress)
	if ok {
		t.Events.Record(event.RecordsFetched, "topic", t.Name, "peer", source.Node, "end", reply.Next, "records", len(reply.Records), "bytes", sizeOf(reply.Records), "behind_ms", t.caughtUp().Milliseconds(), "store", false)
	}
	return reply, ok
}

// fetchPartial takes what peers have read that aren't up to date: on a saturated link it may be
// seconds newer than what this node has, and a read of the store takes as long again. The next read
// goes to the store, so that the node doesn't stay as far behind as its peers.
func (t *Topic) fetchPartial(ctx context.Context, rank int, ranked []Peer, req Request, progress func()) (Reply, bool) {
	reply, ok := t.fetchNewer(ctx, rank, ranked, req, progress)
	t.storeNext = ok
	return reply, ok
}

// fetch asks peers until one has read far enough or the timeout expires.
func (t *Topic) fetch(ctx context.Context, rank int, ranked []Peer, req Request, progress func()) (Reply, bool) {
	req.Topic = t.Name
	a := newAttempt(t, rank, ranked, req)
	reply, source, ok := a.run(ctx, progress)
	if !ok {
		t.Events.Record(event.RelayFailed, "topic", t.Name, "peers", len(ranked), "replied", a.replied.Load(), "end", req.End, "ms", a.elapsed().Milliseconds())
		return Reply{}, false
	}
	t.Events.Record(event.RecordsFetched, "topic", t.Name, "peer", source.Node, "end", req.End, "records", len(reply.Records), "bytes", sizeOf(reply.Records), "ms", a.elapsed().Milliseconds(), "behind_ms", t.caughtUp().Milliseconds())
	return reply, true
}

func (t *Topic) request(ctx context.Context, source Peer, req Request, progress func()) (Reply, error) {
	limited, markProgress, cancel := stall.WithTimeout(ctx, peerTimeout, peerTimeout)
	defer cancel()
	return t.Transport.Fetch(limited, source.Address, req, func() {
		markProgress()
		progress()
	})
}

// peersTimeout is how long a node tries peers before it reads the store itself.
func peersTimeout(rank int) time.Duration {
	if rank <= 1 {
		return secondNodeTimeout
	}
	return min(maxPeersTimeout, laterNodeTimeout+time.Duration(rank-2)*timeoutPerRank)
}
