package quarantine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
)

const (
	// gatherTime is how long news waits for more to be sent with it: the requests at an upstream that crashes fail
	// together.
	gatherTime = 3 * time.Millisecond
	// sendTimeout bounds one message: a connection and an answer from another region, with room for a busy node.
	sendTimeout = 400 * time.Millisecond
	// maxSends is how often a message is sent to a node that doesn't answer, with pauses that begin at firstPause
	// and double: a node that is frozen or cut off for a few seconds still learns of it.
	maxSends   = 5
	firstPause = 250 * time.Millisecond
	// directPeers is the largest number of other nodes that are all told by this one. In larger fleets one or two nodes
	// of each other data centre are told and pass it on, so that news crosses the link between regions twice, not once
	// a node.
	directPeers = 24
	relaysEach  = 2
	// deferTime is how long news that nobody waits for is gathered: shorter than an upstream must be silent before that
	// counts as a crash, so that it is known where the next such crash under a request is counted.
	deferTime = 250 * time.Millisecond
	// maxOpenSends bounds the messages under way from this node, and so the connections that they take. What finds no room
	// isn't told; nodes that start later learn of it from the store.
	maxOpenSends = 512
	// maxBatch bounds what is sent in one message, so that it has 1 MB at most, maxGathered what waits to be sent: what finds
	// no room isn't told.
	maxBatch    = 256
	maxGathered = 8 * maxBatch
)

// Peer is another node.
type Peer struct {
	Node, Address, DataCentre string
	// Capacity tells which nodes of a data centre have most to spare for passing news on; zero if it isn't known.
	Capacity int
}

// Transport sends messages to other nodes.
type Transport interface {
	// Tell returns nil once the other node has the news.
	Tell(ctx context.Context, address string, n News) error
	// Ask returns what the other node knows of each request that is asked about.
	Ask(ctx context.Context, address string, q Inquiries) ([]Standing, error)
}

// Spreader tells other nodes. It is safe for concurrent use.
type Spreader struct {
	Node, DataCentre string
	Events           *event.Recorder
	Transport        Transport
	// Peers returns the other nodes.
	Peers func() []Peer

	budget sendBudget
	// untold bounds the lines on nodes that weren't told.
	untold lines
	// silent are nodes that didn't answer an inquiry.
	silent silentNodes

	mu sync.Mutex
	// own is what this node tells, passed what it passes on for nodes of other data centres.
	own, passed outbox
	// asking is what this node asks next; nil if nothing waits.
	asking *askBatch
	open   int
	ctx    context.Context
	stop   context.CancelFunc
}

// outbox holds the news that waits to be sent: what decides on parts, what callers wait for, and what nobody does.
type outbox struct{ decisive, urgent, deferred *batch }

// batch is news that is sent together. Its ages are those at the time at which it began.
type batch struct {
	news  News
	began time.Time
	told  chan struct{}
}

// Publish implements Publisher.
func (s *Spreader) Publish(n News) <-chan struct{} {
	switch {
	case n.isDecisive():
		return s.gather(&s.own.decisive, n, gatherTime, decisiveDebt, s.targets)
	case n.Deferred:
		return s.gather(&s.own.deferred, n, deferTime, 0, s.deferredTargets)
	default:
		return s.gather(&s.own.urgent, n, gatherTime, 0, s.targets)
	}
}

// PassOn tells the other nodes of this data centre what a node of another one told.
func (s *Spreader) PassOn(n News) {
	if n.isDecisive() {
		s.gather(&s.passed.decisive, n, gatherTime, decisiveDebt, s.dataCentreTargets)
		return
	}
	s.gather(&s.passed.urgent, n, gatherTime, 0, s.dataCentreTargets)
}

// gather adds news to what is sent together after a time, or once the budget is no more than some messages in debt.
func (s *Spreader) gather(slot **batch, n News, after time.Duration, debt float64, targets func() []target) <-chan struct{} {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if *slot != nil && (*slot).news.size()+n.size() > maxGathered {
		s.recordUntold("", n, "reason", "too much to tell")
		return nil
	}
	if *slot == nil {
		*slot = &batch{news: News{Node: s.Node}, began: now, told: make(chan struct{})}
		go s.flush(slot, *slot, after, debt, targets)
	}
	b := *slot
	n = n.Aged(-now.Sub(b.began))
	b.news.Crashes = append(b.news.Crashes, n.Crashes...)
	b.news.Blocks = append(b.news.Blocks, n.Blocks...)
	b.news.Begun = append(b.news.Begun, n.Begun...)
	b.news.BegunAgoMs = max(b.news.BegunAgoMs, n.BegunAgoMs)
	b.news.Answered = append(b.news.Answered, n.Answered...)
	b.news.AnsweredAgoMs = append(b.news.AnsweredAgoMs, n.AnsweredAgoMs...)
	return b.told
}

// flush sends a batch once its time is over and the budget allows it.
func (s *Spreader) flush(slot **batch, b *batch, after time.Duration, debt float64, targets func() []target) {
	ctx := s.context()
	for wait := after; wait > 0 && ctx.Err() == nil; wait = s.budget.wait(debt, time.Now()) {
		periodic.Sleep(ctx, wait)
	}
	s.mu.Lock()
	if *slot == b {
		*slot = nil
	}
	s.mu.Unlock()
	defer close(b.told)
	to := targets()
	for _, n := range split(b.news.Aged(time.Since(b.began)), maxBatch) {
		s.send(n, to)
	}
}

// target is a node to be told. passOn asks it to tell the others of its data centre; one of instead is asked if it
// doesn't answer.
type target struct {
	Peer
	passOn  bool
	instead []Peer
}

// targets returns the nodes that this one tells.
func (s *Spreader) targets() []target {
	peers := s.Peers()
	var targets []target
	if len(peers) <= directPeers {
		for _, p := range peers {
			targets = append(targets, target{Peer: p})
		}
		return targets
	}
	elsewhere := make(map[string][]Peer)
	for _, p := range peers {
		if p.DataCentre == s.DataCentre {
			targets = append(targets, target{Peer: p})
			continue
		}
		elsewhere[p.DataCentre] = append(elsewhere[p.DataCentre], p)
	}
	for _, there := range elsewhere {
		rand.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
		relays := min(relaysEach, len(there))
		for i, p := range there[:relays] {
			t := target{Peer: p, passOn: true}
			for j := relays + i; j < len(there); j += relays {
				t.instead = append(t.instead, there[j])
			}
			targets = append(targets, t)
		}
	}
	return targets
}

// deferredTargets returns the nodes that are told what nobody waits for: in a large fleet one of each data centre, which passes
// on what it gathers. It is the same for all nodes, the one that has most to spare.
func (s *Spreader) deferredTargets() []target {
	peers := s.Peers()
	if len(peers) <= directPeers {
		return s.targets()
	}
	byDataCentre := make(map[string][]Peer)
	for _, p := range peers {
		byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p)
	}
	var targets []target
	for _, there := range byDataCentre {
		slices.SortFunc(there, func(a, b Peer) int { return cmp.Or(b.Capacity-a.Capacity, cmp.Compare(a.Node, b.Node)) })
		targets = append(targets, target{Peer: there[0], passOn: true, instead: there[1:]})
	}
	return targets
}

// dataCentreTargets returns the other nodes of this data centre.
func (s *Spreader) dataCentreTargets() []target {
	var targets []target
	for _, p := range s.Peers() {
		if p.DataCentre == s.DataCentre {
			targets = append(targets, target{Peer: p})
		}
	}
	return targets
}

// send sends news to nodes, and returns once each has it or failed to answer once.
func (s *Spreader) send(n News, targets []target) {
	var first sync.WaitGroup
	s.budget.take(len(targets), time.Now())
	for _, t := range targets {
		if !s.acquire() {
			s.recordUntold(t.Node, n, "reason", "too many messages under way")
			continue
		}
		first.Add(1)
		go func() {
			defer s.release()
			s.sendTo(t, n, first.Done)
		}()
	}
	first.Wait()
}

func (s *Spreader) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= maxOpenSends {
		return false
	}
	s.open++
	return true
}

func (s *Spreader) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// sendTo sends news to one node until it has it; tried is called after the first try.
func (s *Spreader) sendTo(t target, n News, tried func()) {
	n.PassOn = t.passOn
	pause, started := firstPause, time.Now()
	for sends := 1; ; sends++ {
		ctx, cancel := context.WithTimeout(s.context(), sendTimeout)
		err := s.Transport.Tell(ctx, t.Address, n.Aged(time.Since(started)))
		cancel()
		if sends == 1 {
			tried()
		}
		if err == nil || s.context().Err() != nil {
			return
		}
		if sends == maxSends {
			s.recordUntold(t.Node, n, "sends", sends, "error", err)
			return
		}
		s.budget.take(1, time.Now())
		if len(t.instead) > 0 {
			t.Peer, t.instead = t.instead[0], t.instead[1:]
			continue
		}
		periodic.Sleep(s.context(), pause)
		pause *= 2
	}
}

// recordUntold records that a node isn't told, in some of many cases.
func (s *Spreader) recordUntold(node string, n News, why ...any) {
	if leftOut, ok := s.untold.next(time.Now()); ok {
		s.Events.Record(event.CrashesUntold, append([]any{"member", node, "crashes", len(n.Crashes), "left_out", leftOut}, why...)...)
	}
}

func (s *Spreader) context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil {
		s.ctx, s.stop = context.WithCancel(context.Background())
	}
	return s.ctx
}

// Done returns a channel that is closed by Stop.
func (s *Spreader) Done() <-chan struct{} { return s.context().Done() }

// Stop gives up what is under way.
func (s *Spreader) Stop() {
	s.context()
	s.stop()
}
