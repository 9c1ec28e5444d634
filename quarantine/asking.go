package quarantine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/internal/periodic"
)

const (
	// passOnTimeout bounds how long a node that asks others of its data centre waits for them, so that its own answer comes within
	// sendTimeout.
	passOnTimeout = 100 * time.Millisecond
	// maxAskDelay bounds how long an inquiry waits for the budget: in a large fleet one costs as many messages as a node may send in a
	// second.
	maxAskDelay = 150 * time.Millisecond
	// maxInquiries bounds what is asked in one message.
	maxInquiries = 64
)

// askBatch is inquiries that are asked together.
type askBatch struct {
	inquiries []Inquiry
	began     time.Time
	// sent is closed once the nodes are being asked.
	sent chan struct{}
	// done is closed once known holds the answers, in the order of the inquiries.
	done  chan struct{}
	known []Standing
}

// Ask implements Asker.
func (s *Spreader) Ask(ctx context.Context, q Inquiry) (Standing, bool) {
	b, i := s.joinBatch(q)
	patience := time.NewTimer(maxAskDelay)
	defer patience.Stop()
	select {
	case <-b.sent:
	case <-patience.C:
		return Standing{}, false
	case <-ctx.Done():
		return Standing{}, false
	}
	select {
	case <-b.done:
		return b.known[i], s.context().Err() == nil
	case <-ctx.Done():
		return Standing{}, false
	}
}

// joinBatch adds an inquiry to those that are asked next and returns its place.
func (s *Spreader) joinBatch(q Inquiry) (b *askBatch, place int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking == nil || len(s.asking.inquiries) >= maxInquiries {
		s.asking = &askBatch{began: time.Now(), sent: make(chan struct{}), done: make(chan struct{})}
		go s.flushInquiries(s.asking)
	}
	b = s.asking
	q.Crashes = News{Crashes: q.Crashes}.Aged(-time.Since(b.began)).Crashes
	b.inquiries = append(b.inquiries, q)
	return b, len(b.inquiries) - 1
}

// flushInquiries asks a batch once its time is over and the budget allows it.
func (s *Spreader) flushInquiries(b *askBatch) {
	ctx := s.context()
	for wait := gatherTime; wait > 0 && ctx.Err() == nil; wait = s.budget.wait(0, time.Now()) {
		periodic.Sleep(ctx, wait)
	}
	s.mu.Lock()
	if s.asking == b {
		s.asking = nil
	}
	s.mu.Unlock()
	close(b.sent)
	defer close(b.done)
	b.known = s.askAll(Inquiries{Node: s.Node, List: b.inquiries}.aged(time.Since(b.began)), s.askTargets(), sendTimeout)
}

// AskDataCentre asks the other nodes of this data centre for a node of another one.
func (s *Spreader) AskDataCentre(q Inquiries) []Standing {
	q.PassOn = false
	return s.askAll(q, s.dataCentreTargets(), passOnTimeout)
}

// askTargets returns the nodes that are asked: in large fleets one of each other data centre asks the rest there.
func (s *Spreader) askTargets() []target {
	peers := s.Peers()
	if len(peers) <= directPeers {
		return s.targets()
	}
	targets := s.dataCentreTargets()
	elsewhere := make(map[string][]Peer)
	for _, p := range peers {
		if p.DataCentre != s.DataCentre {
			elsewhere[p.DataCentre] = append(elsewhere[p.DataCentre], p)
		}
	}
	for _, there := range elsewhere {
		rand.Shuffle(len(there), func(i, j int) { there[i], there[j] = there[j], there[i] })
		slices.SortStableFunc(there, func(a, b Peer) int { return cmp.Compare(s.silent.since(a.Node), s.silent.since(b.Node)) })
		targets = append(targets, target{Peer: there[0], passOn: true, instead: there[1:]})
	}
	return targets
}

// askAll asks nodes and returns, once each has answered or its time is over, what they know together.
func (s *Spreader) askAll(q Inquiries, targets []target, timeout time.Duration) []Standing {
	known := make([]Standing, len(q.List))
	if len(targets) == 0 {
		return known
	}
	s.budget.take(len(targets), time.Now())
	var mu sync.Mutex
	var answers sync.WaitGroup
	closed := false
	for _, t := range targets {
		silent := s.silent.has(t.silenceKey())
		ask := func() {
			list := s.askOne(q, t, timeout)
			mu.Lock()
			defer mu.Unlock()
			if closed || len(list) != len(known) {
				return
			}
			for i := range known {
				known[i] = known[i].merge(list[i])
			}
		}
		if silent {
			go ask() // it counts if it answers before the others have
			continue
		}
		answers.Go(ask)
	}
	answers.Wait()
	mu.Lock()
	defer mu.Unlock()
	closed = true
	return known
}

// askOne asks a node, and at once again or another one if that fails before its time is over: a kept connection may have been closed.
func (s *Spreader) askOne(q Inquiries, t target, timeout time.Duration) []Standing {
	q.PassOn = t.passOn
	ctx, cancel := context.WithTimeout(s.context(), timeout)
	defer cancel()
	for tries := 1; ; tries++ {
		asked := t.Peer
		list, err := s.Transport.Ask(ctx, asked.Address, q)
		s.silent.set(asked.Node, err != nil)
		if err == nil {
			s.silent.set(t.silenceKey(), false)
			return list
		}
		if tries == 2 || ctx.Err() != nil {
			s.silent.set(t.silenceKey(), true)
			s.recordUntold(asked.Node, News{Crashes: make([]ToldCrash, len(q.List))}, "asked", true, "error", err)
			return nil
		}
		if len(t.instead) > 0 {
			t.Peer, t.instead = t.instead[0], t.instead[1:]
		}
	}
}

// silenceKey returns what is silent if the target doesn't answer: the node or, if it was to ask others, its data centre.
func (t target) silenceKey() string {
	if t.passOn {
		return "data centre " + t.DataCentre
	}
	return t.Node
}

// silentNodes are the nodes, and data centres, that didn't answer last. They are asked, but nobody waits for them. It is safe for
// concurrent use.
type silentNodes struct {
	mu sync.Mutex
	// at is when each was found silent.
	at map[string]time.Time
}

func (n *silentNodes) has(name string) bool { return n.since(name) != 0 }

// since returns when a node became silent, as a number that is larger for later times; zero if it answers.
func (n *silentNodes) since(name string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at, silent := n.at[name]; silent {
		return at.UnixNano()
	}
	return 0
}

func (n *silentNodes) set(name string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !silent {
		delete(n.at, name)
		return
	}
	if n.at == nil {
		n.at = make(map[string]time.Time)
	}
	n.at[name] = time.Now()
}
