package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
)

// fleetModel replays load on engines that share machines with noisy neighbours, in virtual time.
type fleetModel struct {
	rng     *rand.Rand
	now     time.Duration
	engines []*engineModel
	nodes   []*nodeModel
	// figures is how many figures the engines report.
	figures int
	// took sums the time of the requests that ended.
	took  time.Duration
	ended int
	// shared counts prompt tokens that others share, uncached those of them that were prefilled.
	uncached, shared float64
}

// engineModel is an engine that runs up to engineSlots requests, each at its own pace.
type engineModel struct {
	speed, slowdown  float64
	running, waiting []*requestModel
	cached           map[string]bool
	// work is the work done, in milliseconds at normal speed.
	work float64
}

type nodeModel struct {
	picker *Picker
	// views are the node's upstreams, by engine.
	views []*directory.Upstream
	r     Request
}

type requestModel struct {
	node             *nodeModel
	engine           int
	sentAt, startAt  time.Duration
	prompt, uncached float64
	tokens, left     float64
}

const (
	modelEngines, modelNodes, engineSlots = 60, 80, 48
	modelTick                             = 5 * time.Millisecond
	// stepTime and slotTime are milliseconds for a token, and more of it for each running request.
	stepTime, slotTime = 3.27, 0.03
	prefillPerMS       = 125
	networkDelay       = 20 * time.Millisecond
)

func newFleetModel(seed uint64, figures int) *fleetModel {
	m := &fleetModel{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, figures: figures}
	regions := map[string]string{"d0": "east", "d1": "east", "d2": "east", "d3": "west", "d4": "west", "d5": "west"}
	for i := range modelEngines {
		m.engines = append(m.engines, &engineModel{speed: []float64{0.7, 0.7, 1.7}[i%3], slowdown: 1, cached: make(map[string]bool)})
	}
	for i := range modelNodes {
		n := &nodeModel{picker: NewPicker(DefaultSettings(), regions)}
		n.picker.Random = m.rng.Float64
		dc := fmt.Sprintf("d%d", i%6)
		n.r = Request{DataCentre: dc, Region: regions[dc]}
		for e := range modelEngines {
			n.views = append(n.views, &directory.Upstream{Stats: &directory.Stats{}, Entry: directory.Entry{
				ID: fmt.Sprintf("e%02d", e), Service: "s", DataCentre: fmt.Sprintf("d%d", e/10), Slots: engineSlots, State: directory.Ready}})
		}
		m.nodes = append(m.nodes, n)
	}
	return m
}

// play plays a time with a number of requests a second.
func (m *fleetModel) play(length time.Duration, perSecond float64) {
	due, period := 0.0, time.Duration(0)
	for end := m.now + length; m.now < end; m.now += modelTick {
		if period -= modelTick; period <= 0 {
			period = 600 * time.Millisecond
			for _, e := range m.engines {
				e.slowdown = 1
				if m.rng.Float64() < 0.15 {
					e.slowdown = 2.5
				}
			}
		}
		for due += perSecond * modelTick.Seconds(); due >= 1; due-- {
			m.send()
		}
		for i, e := range m.engines {
			m.advance(i, e)
		}
	}
}

// send sends a request of a random node. Six of ten share a part of the prompt with others, by Zipf's law.
func (m *fleetModel) send() {
	n := m.nodes[m.rng.IntN(modelNodes)]
	q := &requestModel{node: n, sentAt: m.now, tokens: 50 + 200*m.rng.Float64()}
	q.left = q.tokens
	r := n.r
	r.Now, r.PromptTokens = m.now, 400
	if m.rng.Float64() < 0.6 {
		part := int(rand.NewZipf(m.rng, 1.1, 2, 199).Uint64())
		r.Prefix, r.PromptTokens = []PromptPart{{fmt.Sprint("p", part), 2_000}, {"own", 400}}, 2_400
	}
	choice, ok := n.picker.Pick(&r, n.views)
	if !ok {
		return
	}
	n.picker.Observe(&r, choice.Upstream)
	choice.Upstream.InFlight.Add(1)
	choice.Upstream.RecordPlaced(choice.Affinity, m.now)
	q.prompt = float64(choice.Uncached)
	choice.Upstream.PromptInFlight.Add(int64(q.prompt))
	fmt.Sscanf(choice.Upstream.ID, "e%d", &q.engine)
	e := m.engines[q.engine]
	q.uncached = 400
	if len(r.Prefix) > 0 {
		m.shared += 2_000
		if !e.cached[r.Prefix[0].ID] {
			e.cached[r.Prefix[0].ID] = true
			q.uncached += 2_000
			m.uncached += 2_000
		}
	}
	e.waiting = append(e.waiting, q)
}

// advance runs an engine for one tick.
func (m *fleetModel) advance(index int, e *engineModel) {
	for len(e.running) < engineSlots && len(e.waiting) > 0 {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		q.left += q.uncached / prefillPerMS / stepTime
		e.running = append(e.running, q)
	}
	perToken := (stepTime + slotTime*float64(len(e.running))) * e.slowdown / e.speed
	kept := e.running[:0]
	for _, q := range e.running {
		u := q.node.views[q.engine]
		if q.startAt == 0 && q.left <= q.tokens && m.now-q.sentAt >= networkDelay {
			q.startAt = m.now
			u.PromptInFlight.Add(-int64(q.prompt))
			report := directory.LoadReport{Running: len(e.running), Waiting: len(e.waiting), Slots: engineSlots}
			if m.figures > 3 {
				report.Slowdown = e.slowdown
			}
			u.ObserveReport(report, m.now)
		}
		step := float64(modelTick.Milliseconds()) / perToken
		e.work += min(step, q.left) * stepTime
		if q.left -= step; q.left > 0 {
			kept = append(kept, q)
			continue
		}
		took := m.now - q.startAt
		u.ObserveEventTime(time.Duration(float64(took)/q.tokens), took, m.now)
		u.InFlight.Add(-1)
		m.took += m.now - q.sentAt
		m.ended++
	}
	e.running = kept
}

// busiest returns the work of the busiest engine relative to its speed, as a part of the mean, and forgets the work.
func (m *fleetModel) busiest() float64 {
	most, sum := 0.0, 0.0
	for _, e := range m.engines {
		relative := e.work / e.speed
		most, sum = max(most, relative), sum+relative
		e.work = 0
	}
	return most * modelEngines / sum
}

// Guards against sending the busiest of uneven upstreams more than 1.3 times the mean of work relative to its speed, and against
// prefilling shared parts of prompts over and over to avoid it. Three figures show the load without the fourth.
func TestUnevenUpstreamsGetWorkBySpeed(t *testing.T) {
	is := is.New(t)
	const perSecond, warmup, length, maxBusiest = 1_000, 6 * time.Second, 6 * time.Second, 1.3
	var busiest, uncached, mean [5]float64
	for figures := 3; figures <= 4; figures++ {
		m := newFleetModel(7, figures)
		m.play(warmup, perSecond)
		m.busiest()
		m.took, m.ended, m.shared, m.uncached = 0, 0, 0, 0
		m.play(length, perSecond)
		busiest[figures], uncached[figures] = m.busiest(), m.uncached/m.shared
		mean[figures] = (m.took / time.Duration(m.ended)).Seconds()
		t.Logf("%d figures: busiest %.2f of the mean, %.3f of shared prompt tokens prefilled, %.0f ms a request", figures, busiest[figures], uncached[figures], 1e3*mean[figures])
	}
	is.True(busiest[3] > maxBusiest)
	is.True(busiest[4] <= maxBusiest)
	is.True(uncached[4] < 0.2) // at random over 60 engines, it is more than half
	is.True(mean[4] <= mean[3])
}

// Guards against any change for upstreams that report three figures.
func TestThreeFiguresAreScoredAsBefore(t *testing.T) {
	is := is.New(t)
	p := NewPicker(DefaultSettings(), regions)
	p.Random = func() float64 { panic("a random choice") }
	list := nineUpstreams()
	for i, u := range list {
		u.ObserveReport(directory.LoadReport{Running: 4, Waiting: 1 + i, Slots: 4}, time.Hour-time.Second)
		u.ObserveEventTime(time.Duration(1+i)*time.Millisecond, 0, time.Hour)
		u.RecordPlaced(true, time.Hour)
	}
	c, ok := p.Pick(newRequest("a", PromptPart{"shared", 5_000}, PromptPart{"own", 800}), list[:1])
	is.True(ok)
	is.Equal(c.Expected, 4*2*time.Millisecond+40*time.Millisecond+800*16*time.Microsecond)
}
