package throttle

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rampModel is an upstream that starts at time 0 among others with a steady load, and the nodes that send to it.
type rampModel struct {
	nodes, slots, queue int
	// work is how long a request takes at normal speed, the last nine tenths of it after its first event.
	work time.Duration
	// slowness multiplies the work until slowUntil; downUntil is until when the upstream can't be reached.
	slowness             float64
	slowUntil, downUntil time.Duration
	// load is the part of their slots that the other upstreams use; each node sends its share of 60 upstreams' load.
	load float64
	ramp bool
	// shares is the sum of the nodes' shares.
	shares float64
}

const modelTime = 10 * time.Second

type rampRequest struct {
	node                 int
	sentAt, startAt, end time.Duration
	observed             bool
}

// rampNode is one node, with what it knows of the upstream.
type rampNode struct {
	limiter      Limiter
	open, known  int
	knownAt      time.Duration
	backoffUntil time.Duration
}

// rampFigures are what the upstream saw in each second.
type rampFigures struct {
	arrived, ended [10]int
	refused, most  int
	waits          [10][]time.Duration
}

// String returns the requests that arrived in each second, and the rest.
func (f *rampFigures) String() string {
	p95 := make([]int64, 0, 10)
	for _, w := range f.waits {
		p95 = append(p95, percentile(w, 0.95).Milliseconds())
	}
	return fmt.Sprintf("arrived %v, ended %v, refused %d, most open %d, 95%% of first events within ms %v", f.arrived, f.ended, f.refused, f.most, p95)
}

func percentile(w []time.Duration, p float64) time.Duration {
	if len(w) == 0 {
		return 0
	}
	slices.Sort(w)
	return w[int(p*float64(len(w)-1))]
}

// usual returns the time that one request takes, until its first event and in all, at a time.
func (m *rampModel) usual(now time.Duration) (first, all time.Duration) {
	all = m.work
	if now < m.slowUntil {
		all = time.Duration(m.slowness * float64(m.work))
	}
	return all / 10, all
}

func (m *rampModel) run(seed uint64) *rampFigures {
	f, random := &rampFigures{}, rand.New(rand.NewPCG(seed, uint64(m.nodes)))
	nodes := make([]rampNode, m.nodes)
	start := RampStart{Slots: m.slots, Part: Part{Share: m.shares / float64(m.nodes), Senders: m.nodes}, Usual: m.work, UsualWait: m.work / 10}
	for i := range nodes {
		nodes[i].limiter.SetRampConfigured(m.ramp)
		if m.ramp && m.downUntil == 0 {
			nodes[i].limiter.BeginRamp(start, 0, random.Float64())
		}
	}
	var running, waiting []*rampRequest
	parity := m.load * float64(m.slots)
	perSecond := 60 * parity / m.work.Seconds()
	offered := 0.0
	const step = time.Millisecond
	for now := time.Duration(0); now < modelTime; now += step {
		second := int(now / time.Second)
		load := Load{Running: len(running), Waiting: len(waiting), Slots: m.slots}
		left := running[:0]
		for _, r := range running {
			n := &nodes[r.node]
			if !r.observed && now >= r.startAt {
				r.observed, n.known, n.knownAt = true, len(running)+len(waiting), now
				f.waits[second] = append(f.waits[second], now-r.sentAt)
				n.limiter.Observe(Answer{Load: load, HasLoad: true, Wait: now - r.sentAt}, now)
			}
			if now < r.end {
				left = append(left, r)
				continue
			}
			n.open--
			f.ended[second]++
			n.limiter.Succeeded(load, now-r.sentAt, now)
		}
		running = left
		for len(running) < m.slots && len(waiting) > 0 {
			first, all := m.usual(now)
			r := waiting[0]
			r.startAt, r.end = now+first, now+all
			running, waiting = append(running, r), waiting[1:]
		}
		for offered += perSecond * step.Seconds(); offered > 1; offered-- {
			i := random.IntN(m.nodes)
			n := &nodes[i]
			// The picker prefers the upstream while the load that the node knows is below that of the least loaded other one.
			known := n.known
			if n.limiter.Ramping() && now-n.knownAt > 2*time.Second {
				known = 0
			}
			// Half of the prompts have a home, one in 60 of them here.
			attracts := float64(max(n.open, known)) < parity*(0.5+random.Float64()) || random.IntN(120) == 0
			if !attracts || now < n.backoffUntil || !n.limiter.TryOpen(n.open, now, random.Float64()) {
				continue
			}
			if now < m.downUntil {
				n.backoffUntil = now + 500*time.Millisecond
				if m.ramp {
					n.limiter.ArmRamp(start, now, random.Float64())
				}
				continue
			}
			f.arrived[second]++
			if len(waiting) >= m.queue {
				f.refused++
				n.limiter.Refused(now)
				n.backoffUntil = now + 500*time.Millisecond
				continue
			}
			n.open++
			waiting = append(waiting, &rampRequest{node: i, sentAt: now})
			f.most = max(f.most, len(running)+len(waiting))
		}
	}
	return f
}

// worstWait returns the highest 95th percentile of the times to first event of a second.
func (f *rampFigures) worstWait() (worst time.Duration) {
	for _, w := range f.waits {
		worst = max(worst, percentile(w, 0.95))
	}
	return worst
}

// late returns the part of a rate that was ended in the last five seconds.
func (f *rampFigures) late(perSecond float64) float64 {
	total := 0
	for _, n := range f.ended[5:] {
		total += n
	}
	return float64(total) / (5 * perSecond)
}

// Guards against the burst of many nodes at an upstream that started or recovered, and against leaving it idle instead. In
// a partition, nodes that are cut off and those that count without them have shares that add up to more than 1.
func TestRampBoundsBurstAndUsesUpstream(t *testing.T) {
	normal := rampModel{slots: 32, queue: 64, work: 600 * time.Millisecond, load: 0.6, shares: 1}
	fewSlots, fast, slow, recovers, recoversSlow, cut := normal, normal, normal, normal, normal, normal
	fewSlots.slots, fewSlots.queue, fewSlots.work = 6, 6, 50*time.Millisecond
	fast.slots, fast.work = 48, 300*time.Millisecond
	slow.slowness, slow.slowUntil = 3, 4*time.Second
	recovers.downUntil = 1500 * time.Millisecond
	recoversSlow.downUntil, recoversSlow.slowness, recoversSlow.slowUntil = 1500*time.Millisecond, 3, 5*time.Second
	cut.shares = 1.5
	cases := []struct {
		name  string
		model rampModel
		// late is the least part of its fair work that the upstream must do in the last five seconds.
		late float64
	}{{"normal", normal, 0.8}, {"few slots", fewSlots, 0.8}, {"fast", fast, 0.8}, {"slow at first", slow, 0.4}, {"recovers", recovers, 0.7},
		{"recovers slow", recoversSlow, 0.4}, {"shares add up to 1.5", cut, 0.8}}
	const seed = 1
	for _, nodes := range []int{6, 20, 80, 380} {
		for _, c := range cases {
			is := is.New(t)
			c.model.nodes = nodes
			without := c.model.run(seed)
			c.model.ramp = true
			with := c.model.run(seed)
			fair := c.model.load * float64(c.model.slots) / c.model.work.Seconds()
			t.Logf("%d nodes, %s (fair: %.0f a second)\n without: %v\n with:    %v", nodes, c.name, fair, without, with)
			is.True(float64(slices.Max(with.arrived[:3])) <= 1.2*c.model.shares*float64(c.model.slots)/c.model.work.Seconds())
			is.True(with.refused <= max(10, without.refused/50))
			is.True(with.most <= 5*c.model.slots/2)
			is.True(with.worstWait() <= max(minSlowWait, without.worstWait()/2))
			is.True(with.late(fair) >= c.late)
		}
	}
}
