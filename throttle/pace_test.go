package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limitedUpstream counts what reaches an upstream that names a limit.
type limitedUpstream struct {
	perSecond float64
	arrivals  []time.Duration
}

// mostWithin returns the largest number of arrivals within a window, from a time on.
func (u *limitedUpstream) mostWithin(window, from time.Duration) int {
	most, first := 0, 0
	for i, at := range u.arrivals {
		if at < from {
			first = i + 1
			continue
		}
		for at-u.arrivals[first] >= window {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

func (u *limitedUpstream) countSince(from time.Duration) int {
	count := 0
	for _, at := range u.arrivals {
		if at >= from {
			count++
		}
	}
	return count
}

// pacedFleet is nodes that send to one upstream.
type pacedFleet struct {
	upstream limitedUpstream
	nodes    []Limiter
	random   *rand.Rand
}

func newPacedFleet(nodes int, perSecond float64, seed uint64) *pacedFleet {
	return &pacedFleet{limitedUpstream{perSecond: perSecond}, make([]Limiter, nodes), rand.New(rand.NewPCG(seed, uint64(nodes)))}
}

// offer sends a request from a node if it may, and tells it what the upstream names.
func (f *pacedFleet) offer(node int, now time.Duration) {
	l := &f.nodes[node]
	if !l.TryOpen(0, now, f.random.Float64()) {
		return
	}
	f.upstream.arrivals = append(f.upstream.arrivals, now)
	if f.upstream.perSecond > 0 {
		l.NameLimit(f.upstream.perSecond, Part{1 / float64(len(f.nodes)), len(f.nodes)}, now, f.random.Float64())
		return
	}
	l.ClearLimit(now)
}

// run offers requests of random nodes at a rate until a time.
func (f *pacedFleet) run(from, to time.Duration, rate float64) {
	for now := from; now < to; now += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)) {
		f.offer(f.random.IntN(len(f.nodes)), now)
	}
}

// Guards against nodes that don't see each other's requests and together exceed the limit of an upstream, also
// when a crowd comes after a calm, and against leaving it idle.
func TestNodesKeepToLimitTogether(t *testing.T) {
	for _, nodes := range []int{1, 6, 18, 86, 295} {
		for _, perSecond := range []float64{0.2, 1, 2, 5, 10, 50} {
			is := is.New(t)
			f := newPacedFleet(nodes, perSecond, uint64(perSecond*10))
			const told, calm, end = 20 * time.Second, 80 * time.Second, 100 * time.Second
			busyTime := time.Duration(max(100, 100/perSecond) * float64(time.Second))
			demand := max(20*float64(nodes), 3*perSecond)
			f.run(0, told, 5*demand) // every node is told
			f.run(told, calm, demand)
			f.run(calm, end, 0.5) // hardly anybody sends
			f.run(end, end+busyTime, demand)
			most := f.upstream.mostWithin(limitWindow, told)
			busy := f.upstream.countSince(end)
			t.Logf("%3d nodes, %4.1f a second: at most %d in 4 s, %.2f of the limit used", nodes, perSecond, most, float64(busy)/(perSecond*busyTime.Seconds()))
			is.True(most <= int(limitFactor*limitWindow.Seconds()*perSecond)+limitExtra)
			is.True(float64(busy) >= 0.6*perSecond*busyTime.Seconds())
		}
	}
}

// Guards against keeping to a limit that is another by now, or that is gone.
func TestLimitIsRaisedLoweredAndGone(t *testing.T) {
	is := is.New(t)
	f := newPacedFleet(6, 2, 1)
	f.run(0, 20*time.Second, 300)
	for i, perSecond := range []float64{20, 1, 5} {
		from := time.Duration(20+40*i) * time.Second
		f.upstream.perSecond = perSecond
		f.run(from, from+40*time.Second, 300)
		settled := from + 10*time.Second
		is.True(float64(f.upstream.countSince(settled)) >= 0.6*perSecond*30)
		is.True(f.upstream.mostWithin(limitWindow, settled) <= int(limitFactor*limitWindow.Seconds()*perSecond)+limitExtra)
	}
	f.upstream.perSecond = 0
	f.run(140*time.Second, 150*time.Second, 300)
	is.True(f.upstream.countSince(145*time.Second) >= 1200)
}

// Guards against taking a limit for gone by an answer that was written before the limit was named.
func TestLateAnswerWithoutLimitDoesNotEndIt(t *testing.T) {
	is := is.New(t)
	var l Limiter
	is.True(l.NameLimit(1, Part{1, 1}, 10*time.Second, 0))
	is.True(!l.NameLimit(1, Part{1, 1}, 11*time.Second, 0))
	is.True(!l.ClearLimit(11 * time.Second))
	_, _, limited := l.Limit(12 * time.Second)
	is.True(limited)
	is.True(l.ClearLimit(12 * time.Second))
	is.True(l.TryOpen(1000, 12*time.Second, 0))
}

// Guards against a limit of nothing: nobody would ever learn that it was raised.
func TestLimitOfZeroStillProbes(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.NameLimit(0, Part{1, 1}, 0, 0.5)
	sent := 0
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		if l.TryOpen(0, now, 0) {
			sent++
		}
	}
	is.True(sent >= 2 && sent <= 4)
}

// Guards against sending requests elsewhere, or rejecting them, although all of them together are fewer than an
// upstream takes: the turns of a few nodes are not lost while nobody needs them.
func TestFewRequestsFindTheirTurns(t *testing.T) {
	is := is.New(t)
	f := newPacedFleet(6, 2, 2)
	f.run(0, 10*time.Second, 300)
	const from, to, rate = 20 * time.Second, 520 * time.Second, 1.0
	f.run(from, to, rate)
	served := float64(f.upstream.countSince(from)) / (rate * (to - from).Seconds())
	t.Logf("%.2f of the requests are sent there", served)
	is.True(served >= 0.7)
}

// Guards against a burst of the many nodes without callers, which aren't counted as senders.
func TestNodesWithoutCallersKeepNoTurns(t *testing.T) {
	is := is.New(t)
	is.True(Part{Share: 0.1, Senders: 12}.keepsTurns(10))
	is.True(!Part{Share: 0.1, Senders: 12}.keepsTurns(1))
	is.True(!Part{Share: 0.001, Senders: 12}.keepsTurns(10))
}
