package quarantine

import (
	"context"
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/event"
)

// Denial is why a request isn't sent now.
type Denial int

const (
	// NotDenied: the request may be sent.
	NotDenied Denial = iota
	// DeniedByCrashes: MaxRequestCrashes upstreams crashed under it.
	DeniedByCrashes
	// DeniedByOthers: sends that are under way may crash as many upstreams as are left, or the other nodes can't be asked.
	DeniedByOthers
)

const (
	// maxTurnWait bounds how long a request waits for its turn.
	maxTurnWait = 2 * time.Second
	// firstTurnPause is the pause before the other nodes are asked again, unless something changes; it doubles.
	firstTurnPause = 100 * time.Millisecond
)

// Turn is the right of one attempt to send a request. Crashes and sends under way, at all nodes, are MaxRequestCrashes together at
// most; before the first crash that isn't asked. A nil Turn needs no right. A Turn is used by one goroutine.
type Turn struct {
	g       *Guard
	attempt string
	request ID
	id      ID
	// held is set while the send counts as under way.
	held bool
	// contested is set if another node, which goes first, asked while this one waited. The mutex of requests guards it.
	contested bool
}

// alreadyChanged is closed.
var alreadyChanged = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// NewTurn returns the turn of an attempt, named as in the logs, at a request.
func (g *Guard) NewTurn(attempt string, request ID) *Turn {
	if g == nil || request == 0 {
		return nil
	}
	return &Turn{g: g, attempt: attempt, request: request, id: randomID()}
}

// Await waits until the request may be sent. A request without crashes may be at once.
func (t *Turn) Await(ctx context.Context) Denial {
	if t == nil || t.held || t.g.requests.counted.Load() == 0 {
		return NotDenied
	}
	if t.g.Asker == nil {
		return t.awaitAlone()
	}
	ctx, cancel := context.WithTimeout(ctx, maxTurnWait)
	defer cancel()
	started := t.g.clock.Now()
	defer t.g.requests.leave(t)
	for pause := firstTurnPause; ; pause *= 2 {
		crashes, needed := t.g.requests.wait(t)
		if !needed {
			return NotDenied
		}
		known, asked := t.g.Asker.Ask(ctx, Inquiry{Request: t.request, Turn: t.id, Crashes: crashes})
		if !asked {
			return t.record(DeniedByOthers, started, known)
		}
		t.g.Learn(News{Node: t.g.node, Crashes: known.Crashes})
		denial, changed := t.g.requests.take(t, known)
		if denial != DeniedByOthers {
			return t.record(denial, started, known)
		}
		select {
		case <-ctx.Done():
			return t.record(DeniedByOthers, started, known)
		case <-changed:
		case <-time.After(pause):
		}
	}
}

// awaitAlone decides by what this node knows, where it asks no others.
func (t *Turn) awaitAlone() Denial {
	if t.g.requests.isRefused(t.request, true) {
		return DeniedByCrashes
	}
	t.g.requests.hold(t)
	return NotDenied
}

// record records how a turn that others were asked about ended.
func (t *Turn) record(denial Denial, started time.Duration, known Standing) Denial {
	waited := t.g.clock.Now() - started
	t.g.turns.record(denial, waited)
	t.g.events.Record(event.TurnDecided, "request", t.attempt, "content", t.request, "denied", denial.String(), "crashes", t.g.requests.count(t.request),
		"sends", known.Sends, "before", known.othersBefore(t.id), "waited_ms", waited.Milliseconds())
	return denial
}

// String returns the denial as it stands in logs.
func (d Denial) String() string {
	switch d {
	case DeniedByCrashes:
		return "crashes"
	case DeniedByOthers:
		return "others"
	}
	return ""
}

// Request returns the request that the turn is for.
func (t *Turn) Request() ID {
	if t == nil {
		return 0
	}
	return t.request
}

// Crashes returns how many upstreams crashed under the request, as far as this node knows.
func (t *Turn) Crashes() int {
	if t == nil {
		return 0
	}
	return t.g.requests.count(t.request)
}

// Begin records that the request is sent now; false if it has to wait for its turn again.
func (t *Turn) Begin() bool {
	if t == nil || t.held {
		return true
	}
	t.held = t.g.requests.beginSend(t.request)
	return t.held
}

// End records that the send is over, after a crash under it was recorded, or that the turn isn't used.
func (t *Turn) End() {
	if t == nil || !t.held {
		return
	}
	t.held = false
	t.g.requests.endSend(t.request)
}

// wait has a turn wait and returns the crashes under its request; needed is false if the request may be sent.
func (r *requests) wait(t *Turn) (crashes []ToldCrash, needed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(t.request)
	if s == nil || s.isFree() {
		return nil, false
	}
	if !slices.Contains(s.waiting, t) {
		s.waiting = append(s.waiting, t)
	}
	t.contested = false
	for _, e := range s.crashes {
		crashes = append(crashes, tell(e, r.clock.Now()))
	}
	return crashes, true
}

// take gives a turn if what other nodes know allows it; changed is closed once something has changed.
func (r *requests) take(t *Turn, known Standing) (denial Denial, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known.Answered {
		r.answerLocked(t.request, r.clock.Now()-time.Duration(known.AnsweredAgoMs)*time.Millisecond, false)
	}
	s := r.current(t.request)
	if s != nil {
		own, _ := r.answers.of(t.request)
		s.popular = s.popular || known.Answers+own.count >= popularAnswers
	}
	if s == nil || s.isFree() {
		return NotDenied, nil
	}
	if s.count() >= MaxRequestCrashes {
		s.settled = known.Sends == 0 && r.sends[t.request] == 0
		return DeniedByCrashes, nil
	}
	before := known.othersBefore(t.id) + r.sends[t.request]
	for _, other := range s.waiting {
		if other.id < t.id {
			before++
		}
	}
	if t.contested {
		return DeniedByOthers, alreadyChanged
	}
	if s.count()+before >= MaxRequestCrashes {
		return DeniedByOthers, s.changed
	}
	r.sends[t.request]++
	t.held = true
	return NotDenied, nil
}

// hold counts a turn's send as under way.
func (r *requests) hold(t *Turn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends[t.request]++
	t.held = true
}

// leave ends a turn's wait.
func (r *requests) leave(t *Turn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byID[t.request]; s != nil {
		s.waiting = slices.DeleteFunc(s.waiting, func(other *Turn) bool { return other == t })
		s.notify()
	}
}
