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
	// maxPermitWait bounds how long a request waits for its permit.
	maxPermitWait = 2 * time.Second
	// firstPermitPause is the pause before the other nodes are asked again, unless something changes; it doubles.
	firstPermitPause = 100 * time.Millisecond
)

// Permit is the right of one attempt to send a request. Crashes under it and its sends under way, at all nodes, are MaxRequestCrashes
// together at most; a request without crashes needs no permit, nor does a nil Permit. A Permit is used by one goroutine.
type Permit struct {
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

// NewPermit returns the permit of an attempt, named as in the logs, at a request.
func (g *Guard) NewPermit(attempt string, request ID) *Permit {
	if g == nil || request == 0 {
		return nil
	}
	return &Permit{g: g, attempt: attempt, request: request, id: randomID()}
}

// Await waits until the request may be sent. A request without crashes may be at once.
func (p *Permit) Await(ctx context.Context) Denial {
	if p == nil || p.held || p.g.requests.counted.Load() == 0 {
		return NotDenied
	}
	if p.g.Asker == nil {
		return p.awaitAlone()
	}
	ctx, cancel := context.WithTimeout(ctx, maxPermitWait)
	defer cancel()
	started := p.g.clock.Now()
	defer p.g.requests.leave(p)
	for pause := firstPermitPause; ; pause *= 2 {
		crashes, needed := p.g.requests.wait(p)
		if !needed {
			return NotDenied
		}
		known, asked := p.g.Asker.Ask(ctx, Inquiry{Request: p.request, Permit: p.id, Crashes: crashes})
		if !asked && p.g.requests.takeUnasked(p) {
			return p.record(NotDenied, started, known, asked)
		}
		if !asked && ctx.Err() != nil {
			return p.record(DeniedByOthers, started, known, asked)
		}
		if !asked {
			continue
		}
		p.g.Learn(News{Node: p.g.node, Crashes: known.Crashes})
		denial, changed := p.g.requests.take(p, known)
		if denial != DeniedByOthers {
			return p.record(denial, started, known, asked)
		}
		select {
		case <-ctx.Done():
			return p.record(DeniedByOthers, started, known, asked)
		case <-changed:
		case <-time.After(pause):
		}
	}
}

// awaitAlone decides by what this node knows, where it asks no others.
func (p *Permit) awaitAlone() Denial {
	if p.g.requests.isRefused(p.request, true) {
		return DeniedByCrashes
	}
	p.g.requests.hold(p)
	return NotDenied
}

// record records how a permit that others were asked about ended.
func (p *Permit) record(denial Denial, started time.Duration, known Standing, asked bool) Denial {
	waited := p.g.clock.Now() - started
	p.g.permits.record(denial, waited)
	p.g.events.Record(event.PermitDecided, "request", p.attempt, "content", p.request, "denied", denial.String(), "crashes", p.g.requests.count(p.request),
		"asked", asked, "sends", known.Sends, "before", known.othersBefore(p.id), "waited_ms", waited.Milliseconds())
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

// Request returns the request that the permit is for.
func (p *Permit) Request() ID {
	if p == nil {
		return 0
	}
	return p.request
}

// Crashes returns how many upstreams crashed under the request, as far as this node knows.
func (p *Permit) Crashes() int {
	if p == nil {
		return 0
	}
	return p.g.requests.count(p.request)
}

// Begin records that the request is sent now; false if it needs a permit by now.
func (p *Permit) Begin() bool {
	if p == nil || p.held {
		return true
	}
	p.held = p.g.requests.beginSend(p.request)
	return p.held
}

// End records that the send is over, after a crash under it was recorded, or that the permit isn't used.
func (p *Permit) End() {
	if p == nil || !p.held {
		return
	}
	p.held = false
	p.g.requests.endSend(p.request)
}

// wait has a permit wait and returns the crashes under its request; needed is false if the request may be sent.
func (r *requests) wait(p *Permit) (crashes []ToldCrash, needed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(p.request)
	if s == nil || s.isFree() {
		return nil, false
	}
	if !slices.Contains(s.waiting, p) {
		s.waiting = append(s.waiting, p)
	}
	p.contested = false
	for _, e := range s.crashes {
		crashes = append(crashes, tell(e, r.clock.Now()))
	}
	return crashes, true
}

// take gives a permit if what other nodes know allows it; changed is closed once something has changed.
func (r *requests) take(p *Permit, known Standing) (denial Denial, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known.Answered {
		r.answerLocked(p.request, r.clock.Now()-time.Duration(known.AnsweredAgoMs)*time.Millisecond, false)
	}
	s := r.current(p.request)
	if s != nil {
		own, _ := r.answers.of(p.request)
		s.popular = s.popular || known.Answers+own.count >= popularAnswers
	}
	if s == nil || s.isFree() {
		return NotDenied, nil
	}
	if s.count() >= MaxRequestCrashes {
		s.settled = known.Sends == 0 && r.sends[p.request] == 0
		return DeniedByCrashes, nil
	}
	before := known.othersBefore(p.id) + r.sends[p.request]
	for _, other := range s.waiting {
		if other.id < p.id {
			before++
		}
	}
	if p.contested {
		return DeniedByOthers, alreadyChanged
	}
	if s.count()+before >= MaxRequestCrashes {
		return DeniedByOthers, s.changed
	}
	r.sends[p.request]++
	p.held = true
	return NotDenied, nil
}

// takeUnasked gives a permit although the other nodes couldn't be asked, if nothing but one crash under a send of this node is known: on a
// day on which many upstreams crash, most requests were there by chance.
func (r *requests) takeUnasked(p *Permit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(p.request)
	if s == nil || len(s.crashes) != 1 || !s.crashes[0].Own || r.sends[p.request] > 0 || p.contested {
		return false
	}
	r.sends[p.request]++
	p.held = true
	return true
}

// hold counts a permit's send as under way.
func (r *requests) hold(p *Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends[p.request]++
	p.held = true
}

// leave ends a permit's wait.
func (r *requests) leave(p *Permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.byID[p.request]; s != nil {
		s.waiting = slices.DeleteFunc(s.waiting, func(other *Permit) bool { return other == p })
		s.notify()
	}
}
