package quarantine

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/event"
)

// Publisher tells other nodes.
type Publisher interface {
	// Publish sends news to the other nodes. told is closed once each of them has it or can't be reached now, and nodes
	// that start later will have it.
	Publish(News) (told <-chan struct{})
}

// Guard tells which requests must not be sent. It is safe for concurrent use; a nil Guard counts nothing.
type Guard struct {
	clock     bootclock.Clock
	events    *event.Recorder
	node      string
	publisher Publisher
	requests  *requests
	parts     *parts
	// blocksChanged holds an element if this node changed blocks.
	blocksChanged chan struct{}
	// IsTrialNode reports whether this node lets trials of a blocked part through; nil for never. It must be set before
	// the guard is used.
	IsTrialNode func(part ID) bool
	// Asker asks other nodes about requests that were sent already; nil if there are none. It must be set before the guard is
	// used.
	Asker Asker
	// learnedLines bounds the lines on crashes that other nodes told of.
	learnedLines lines
	// journal keeps this node's own crashes.
	journal *journal
	// crashed and learned count crashes under own requests, and those that other nodes told of.
	crashed, learned atomic.Int64
	permits          permitCounts
}

// NewGuard returns a guard that knows of no crashes. publisher may be nil.
func NewGuard(node string, clock bootclock.Clock, events *event.Recorder, publisher Publisher) *Guard {
	return &Guard{clock: clock, events: events, node: node, publisher: publisher, requests: newRequests(clock), parts: newParts(clock), blocksChanged: make(chan struct{}, 1), journal: newJournal(clock)}
}

// MaySend reports whether a request may be sent as far as this node can tell without asking others: a Permit can.
func (g *Guard) MaySend(request ID) bool {
	return g == nil || request == 0 || !g.requests.isRefused(request, g.Asker == nil)
}

// UpstreamCrashed records that an upstream, or the connection to it, crashed under a request of this node. The returned
// channel is closed once the other nodes know, and those that start later will.
func (g *Guard) UpstreamCrashed(a Attempt) (told <-chan struct{}) {
	if g == nil || a.Request == 0 {
		return nil
	}
	now := g.clock.Now()
	crash := Crash{ID: randomID(), Own: true, Request: a.Request, Upstream: a.Incarnation, Life: a.Life, Opened: a.Opened, Account: a.Account, SentAt: a.SentAt, At: now}
	if !a.Begun && !a.Silent {
		crash.Parts, crash.PartIDs = g.suspectedParts(a.Parts, crash)
	}
	count, isNew := g.requests.add(crash)
	g.crashed.Add(1)
	g.events.Record(event.UpstreamCrashed, "request", a.ID, "content", a.Request, "upstream", a.Upstream, "opened", a.Opened, "begun", a.Begun, "silent", a.Silent, "crashes", count, "parts", partNames(a.Parts))
	if !isNew {
		return nil
	}
	changed := g.parts.add(crash)
	g.recordBlocks(changed, g.node)
	g.wakeStore(changed)
	kept := g.journal.add(crash)
	news := News{Node: g.node, Crashes: []ToldCrash{tell(crash, now)}, Blocks: changed, Deferred: a.Silent && count == 1}
	told = g.publish(news)
	if news.Deferred {
		return nil
	}
	return both(kept, told)
}

// suspectedParts returns those of a prompt's parts that this node suspects after a crash. Other nodes may have no requests with a
// part that begins to be answered here all the time.
func (g *Guard) suspectedParts(all []Part, e Crash) (suspected []Part, ids []ID) {
	for _, p := range all {
		if id := p.id(); !g.parts.isCleared(id, e) {
			suspected, ids = append(suspected, p), append(ids, id)
		}
	}
	return suspected, ids
}

// PartIDs returns the IDs of a prompt's parts, for the calls that follow.
func PartIDs(parts []Part) []ID {
	ids := make([]ID, len(parts))
	for i, p := range parts {
		ids[i] = p.id()
	}
	return ids
}

func randomID() ID { return ID(max(1, rand.Uint64())) }

// Answered records that a request was answered completely.
func (g *Guard) Answered(request ID) {
	if g == nil || request == 0 {
		return
	}
	now := g.clock.Now()
	if !g.requests.answer(request, now, true) {
		return
	}
	g.journal.forget(request, now)
	g.publish(News{Node: g.node, Answered: []ID{request}, Deferred: true})
}

func (g *Guard) publish(n News) <-chan struct{} {
	if g.publisher == nil {
		return nil
	}
	return g.publisher.Publish(n)
}

// Learn records what another node told.
func (g *Guard) Learn(n News) {
	now, added := g.clock.Now(), 0
	for _, told := range n.Crashes {
		if told.AgoMs >= requestLife.Milliseconds() {
			continue
		}
		crash := told.heard(now)
		count, isNew := g.requests.add(crash)
		if !isNew {
			continue
		}
		added++
		if changed := g.parts.add(crash); len(changed) > 0 {
			g.recordBlocks(changed, g.node)
			g.publishUnlessHeard(changed)
		}
		if leftOut, ok := g.learnedLines.next(time.Now()); ok {
			g.events.Record(event.CrashLearned, "member", n.Node, "content", told.Request, "crashes", count, "ago_ms", told.AgoMs, "left_out", leftOut)
		}
	}
	g.parts.clear(n.Begun, now-time.Duration(max(0, n.BegunAgoMs))*time.Millisecond)
	for _, b := range n.Blocks {
		g.LearnBlock(b, n.Node)
	}
	for i, request := range n.Answered {
		answeredAt := now - time.Duration(max(0, n.answeredAgoMs(i)))*time.Millisecond
		g.requests.answer(request, answeredAt, false)
		g.journal.forget(request, answeredAt)
	}
	g.learned.Add(int64(added))
}

// Standing records what a node that asks knows of a request, and returns what this one knows.
func (g *Guard) Standing(node string, q Inquiry) Standing {
	g.Learn(News{Node: node, Crashes: q.Crashes})
	return g.requests.standing(q)
}

// Counts are what a guard has counted since its start, how many requests it knows with crashes, and how many parts are
// suspected and blocked now.
type Counts struct {
	Crashes, Learned, Requests, SuspectedParts, BlockedParts int64
	// PermitsGiven, PermitsRefused and PermitsDenied are the sends that other nodes were asked about: those sent, refused for crashes under the
	// request, and not sent as others sent it or couldn't be asked. PermitWaitMs is how long they waited in all, in milliseconds.
	PermitsGiven, PermitsRefused, PermitsDenied, PermitWaitMs int64
}

// Counts returns the counts for the metrics.
func (g *Guard) Counts() Counts {
	if g == nil {
		return Counts{}
	}
	return Counts{Crashes: g.crashed.Load(), Learned: g.learned.Load(), Requests: int64(g.requests.size()),
		SuspectedParts: g.parts.suspected.Load(), BlockedParts: int64(len(*g.parts.blocked.Load())),
		PermitsGiven: g.permits.taken.Load(), PermitsRefused: g.permits.refused.Load(), PermitsDenied: g.permits.denied.Load(), PermitWaitMs: g.permits.waitedMs.Load()}
}

// Now returns the reading of the guard's clock.
func (g *Guard) Now() time.Duration {
	if g == nil {
		return 0
	}
	return g.clock.Now()
}
