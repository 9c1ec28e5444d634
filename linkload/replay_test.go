package linkload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/queuedelay"
)

// The instance of docs/HARD-LOAD.md, its requests and the value of their responses.
const (
	replayMbps   = 10
	replaySpeed  = replayMbps * 125_000
	replayLength = 20 * time.Second
	headerBytes  = 700
	refusalBytes = 300
	roundTrip    = 10 * time.Millisecond
	measureEvery = 100 * time.Millisecond
)

// replayKind is a kind of request; weight is how many of them come in proportion to the others.
type replayKind struct {
	route     string
	in, out   int64
	value     float64
	weight    int
	work      time.Duration
	objective time.Duration
}

var replayKinds = []replayKind{
	{"prompts", 12_000, 3_000, 1.8, 1, 300 * time.Millisecond, 2 * time.Second},
	{"questions", 800, 2_300, 3.1, 4, 150 * time.Millisecond, time.Second},
}

// replayAccount is a client account; weight is how many requests it sends in proportion to the others.
type replayAccount struct {
	name   string
	weight int
	// only is the one route that it uses; empty if it uses all.
	only string
}

var replayAccounts = []replayAccount{{"largest", 60, ""}, {"second", 20, ""}, {"third", 10, ""}, {"small", 4, ""}, {"prompter", 6, "prompts"}}

// oneWay is one direction of the link, a queue.
type oneWay struct {
	busyUntil time.Duration
	sent      int64
}

func (o *oneWay) send(now time.Duration, bytes int64) time.Duration {
	o.busyUntil = max(o.busyUntil, now) + time.Duration(float64(bytes)/replaySpeed*float64(time.Second))
	o.sent += bytes
	return o.busyUntil
}

func (o *oneWay) backlog(now time.Duration) time.Duration { return max(0, o.busyUntil-now) }

func (o *oneWay) passed(now time.Duration) int64 {
	return o.sent - int64(o.backlog(now).Seconds()*replaySpeed)
}

type replayEvent struct {
	at time.Duration
	do func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fate is how the requests of a group fared.
type fate struct {
	asked, inTime int
	// lastServed is when one was served in time, longestGap the longest time without one.
	lastServed, longestGap time.Duration
}

func (f *fate) served(now time.Duration) {
	f.inTime++
	f.longestGap = max(f.longestGap, now-f.lastServed)
	f.lastServed = now
}

func (f *fate) share() float64 { return float64(f.inTime) / float64(max(1, f.asked)) }

// replay is a crowded instance in virtual time.
type replay struct {
	now      time.Duration
	events   replayEvents
	in, out  oneWay
	random   *rand.Rand
	decision *Admission // nil: only connections are refused
	gate     queuedelay.Gate
	link     *queuedelay.Link
	isShut   bool
	// delay is the delay as of the last measurement; delayed is the one before, which is known now.
	delay, delayed time.Duration
	fates          map[string]*fate
	value          float64
	replayCase
	// asked, reached and refused count requests, those whose connection was accepted, and those that the decision refused.
	asked, reached, refused int
}

// replayCase is what is played.
type replayCase struct {
	// load is the demand as a multiple of the link's speed.
	load   float64
	decide bool
	seed   uint64
	// onlyQuestions plays requests of one size, wideBuffers connections on which whole bodies come unasked.
	onlyQuestions, wideBuffers bool
}

func (r *replay) Received() int64 { return r.in.passed(r.now) }
func (r *replay) Sent() int64     { return r.out.passed(r.now) }

func (r *replay) after(at time.Duration, do func()) { heap.Push(&r.events, replayEvent{at, do}) }

// play plays a case.
func play(c replayCase) *replay {
	r := &replay{random: rand.New(rand.NewPCG(c.seed, 1)), fates: make(map[string]*fate), replayCase: c}
	r.link = queuedelay.NewLink(r, replayMbps)
	if c.decide {
		r.decision = NewAdmission(DefaultSettings())
	}
	r.after(0, func() { r.measure(0) })
	mean, weights := 0.0, 0
	for _, k := range replayKinds {
		mean += float64(k.weight) * float64(k.in+k.out+headerBytes)
		weights += k.weight
	}
	perSecond := c.load * replaySpeed / (mean / float64(weights))
	r.after(0, func() { r.arrive(perSecond) })
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		if r.now = e.at; r.now > replayLength {
			break
		}
		e.do()
	}
	for _, f := range r.fates {
		f.longestGap = max(f.longestGap, replayLength-f.lastServed)
	}
	return r
}

func (r *replay) measure(step int) {
	if step%5 == 0 {
		r.delayed, r.delay = r.delay, r.in.backlog(r.now)+r.out.backlog(r.now)
		r.link.Sample(r.now)
	}
	r.isShut = r.gate.Update(r.now, r.delayed, r.link.Use())
	r.after(r.now+measureEvery/5, func() { r.measure(step + 1) })
}

func (r *replay) arrive(perSecond float64) {
	kind, account := replayKinds[0], replayAccounts[0]
	draw := r.random.IntN(100)
	for _, a := range replayAccounts {
		if draw -= a.weight; draw < 0 {
			account = a
			break
		}
	}
	if r.onlyQuestions || account.only == "" && r.random.IntN(5) > 0 {
		kind = replayKinds[1]
	}
	r.ask(kind, account)
	r.after(r.now+time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), func() { r.arrive(perSecond) })
}

func (r *replay) ask(k replayKind, a replayAccount) {
	began := r.now
	fates := []*fate{r.fate(k.route), r.fate(a.name), r.fate(a.name + " " + k.route)}
	for _, f := range fates {
		f.asked++
	}
	r.asked++
	if r.isShut {
		return
	}
	r.reached++
	unasked := k.in
	if !r.wideBuffers && r.decision != nil && r.decision.Crowded(r.now, r.linkState()) {
		unasked = min(k.in, SmallUnaskedBytes)
	}
	r.after(r.in.send(r.now, headerBytes+unasked), func() {
		if r.decision != nil && !r.decision.Decide(r.now, r.linkState(), Request{Route: k.route, Account: a.name, BodyBytes: k.in, UnaskedBytes: unasked}, r.random.Float64()).Admitted {
			r.refused++
			r.out.send(r.now, refusalBytes)
			return
		}
		read := r.now
		if unasked < k.in {
			read = r.in.send(r.now+roundTrip, k.in-unasked)
		}
		r.after(read, func() { r.forward(k, began, fates) })
	})
}

func (r *replay) forward(k replayKind, began time.Duration, fates []*fate) {
	r.after(r.out.send(r.now, k.in+headerBytes)+k.work, func() {
		r.after(r.in.send(r.now, k.out), func() {
			r.after(r.out.send(r.now, k.out), func() {
				if r.decision != nil {
					r.decision.ObserveResponse(k.route, 0, k.out)
				}
				if r.now-began > k.objective {
					return
				}
				r.value += k.value
				for _, f := range fates {
					f.served(r.now)
				}
			})
		})
	})
}

func (r *replay) linkState() Link {
	return Link{Delay: r.delayed, Use: r.link.Use(), Speed: replaySpeed}
}

func (r *replay) fate(name string) *fate {
	f, ok := r.fates[name]
	if !ok {
		f = &fate{}
		r.fates[name] = f
	}
	return f
}

// Guards against an instance that, crowded by callers who keep its address, answers few in time, and against one that never
// answers long prompts, a route or an account.
func TestCrowdedInstanceServesEachGroup(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{2, 3, 4} {
		for seed := range uint64(3) {
			without, with := play(replayCase{load: load, seed: seed}), play(replayCase{load: load, seed: seed, decide: true})
			t.Logf("demand %.0f times the link, seed %d: value %.0f without, %.0f with; %d asked, %d reached, %d refused by headers", load, seed, without.value, with.value, with.asked, with.reached, with.refused)
			is.True(with.value > 1.1*without.value)
			is.True(with.fate("questions").share() > 1.2*without.fate("questions").share())
			reached := float64(with.reached) / float64(with.asked)
			for _, name := range groupNames() {
				f, g := without.fate(name), with.fate(name)
				t.Logf("  %-19s asked %5d, in time %.3f without, %.3f with; longest time without one %.1f s, %.1f s", name, f.asked, f.share(), g.share(), f.longestGap.Seconds(), g.longestGap.Seconds())
				if perSecond := reached * float64(g.asked) / replayLength.Seconds(); perSecond < 4 {
					continue // too few to tell
				}
				is.True(g.share() > reached*DefaultSettings().MinShare/2)
				is.True(g.longestGap <= DefaultSettings().MaxDenied+replayKinds[0].objective)
			}
		}
	}
}

// Guards against refusals on an instance whose link carries what callers ask, and by headers where a refusal saves little.
func TestDecisionRefusesLittleWithoutGain(t *testing.T) {
	is := is.New(t)
	for _, c := range []replayCase{{load: 0.6}, {load: 3, onlyQuestions: true}, {load: 3, wideBuffers: true}} {
		without := play(c)
		c.decide = true
		with := play(c)
		t.Logf("%+v: value %.0f without, %.0f with; %d asked, %d reached, %d refused by headers", c, without.value, with.value, with.asked, with.reached, with.refused)
		is.True(with.value > 0.95*without.value)
		is.True(float64(with.refused) < 0.02*float64(with.reached))
	}
}

func groupNames() []string {
	names := []string{"prompts", "questions"}
	for _, a := range replayAccounts {
		names = append(names, a.name)
		for _, k := range replayKinds {
			if a.only == "" || a.only == k.route {
				names = append(names, fmt.Sprint(a.name, " ", k.route))
			}
		}
	}
	return names
}
