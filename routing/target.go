package routing

import (
	"math"
	"sync/atomic"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/routing/health"
	"lavenderpin.dev/lavenderpin/routing/score"
)

const (
	defaultSlots = 16
	// firstService is the mean time of a request before any is measured.
	firstService  = 5.0
	serviceWeight = 0.05
	paceWeight    = 0.15
	// paceFade is the time constant with which a pace is forgotten: an upstream that
	// was slow gets no work, so nothing else would show that it recovered.
	paceFade    = 30 * time.Second
	slowestPace = 16.0
	noHolder    = -1
)

// target is what a node knows of one upstream. All fields are safe for concurrent use.
type target struct {
	name  string
	slots float64
	// holder is the upstream's number in the prefix index.
	holder  int
	since   time.Time
	breaker *health.Breaker
	region  *regionLoad
	// wellness is how the target stands in its service's count of sick ones.
	wellness atomic.Int32

	requests history
	// pending counts prompt tokens sent whose first token hasn't come.
	pending history
	// owing counts requests whose first token hasn't come.
	owing    atomic.Int64
	progress atomic.Int64

	report  atomic.Pointer[heardReport]
	service average // seconds
	pace    average // logarithm
	paceAt  atomic.Int64

	events atomic.Uint64
}

// heardReport is a load report with what this node had there at the time of its sample.
type heardReport struct {
	LoadReport
	sampled     time.Time
	ownRequests float64
	ownPending  float64
}

func newTarget(u *operatorv1.Upstream, holder int, since time.Time, breaker *health.Breaker, region *regionLoad) *target {
	t := &target{name: u.GetName(), slots: float64(u.GetSlots()), holder: holder, since: since, breaker: breaker, region: region}
	if t.slots == 0 {
		t.slots = defaultSlots
	}
	t.service.store(firstService)
	return t
}

func (t *target) hear(report LoadReport, now time.Time) {
	sampled := now.Add(-report.Age)
	t.report.Store(&heardReport{
		LoadReport:  report,
		sampled:     sampled,
		ownRequests: float64(t.requests.at(sampled, now)),
		ownPending:  float64(t.pending.at(sampled, now)),
	})
}

// foreign returns the requests and pending tokens of other nodes in the latest report.
func (t *target) foreign() (requests, pending float64, known bool) {
	r := t.report.Load()
	if r == nil {
		return 0, 0, false
	}
	return t.requestLoad(r, 0).OtherNodes(), t.pendingLoad(r, 0).OtherNodes(), true
}

func (t *target) requestLoad(r *heardReport, mean float64) score.Load {
	l := score.Load{Own: float64(t.requests.now()), MeanOtherNodes: mean}
	if r != nil {
		l.OwnAtSample, l.Reported = r.ownRequests, float64(r.Running+r.Waiting)
	}
	return l
}

func (t *target) pendingLoad(r *heardReport, mean float64) score.Load {
	l := score.Load{Own: float64(t.pending.now()), MeanOtherNodes: mean}
	if r != nil {
		l.OwnAtSample, l.Reported = r.ownPending, float64(r.PendingTokens)
	}
	return l
}

// stalled tells whether the upstream owes first tokens and has given none for long: it
// hangs, which its requests' own timeouts would show much later.
func (t *target) stalled(after time.Duration, now time.Time) bool {
	return t.owing.Load() > 0 && now.UnixNano()-t.progress.Load() > int64(after)
}

// currentPace returns how many times slower than predicted the upstream is.
func (t *target) currentPace(now time.Time) float64 {
	if t.pace.load() == 0 {
		return 1
	}
	age := float64(now.UnixNano() - t.paceAt.Load())
	return math.Exp(t.pace.load() * math.Exp(-age/float64(paceFade)))
}

func (t *target) learnPace(predicted, took time.Duration, pace float64, now time.Time) {
	ratio := float64(took) / float64(max(predicted, time.Millisecond)) * pace
	ratio = min(max(ratio, 1/slowestPace), slowestPace)
	t.pace.store(math.Log(t.currentPace(now)))
	t.pace.observe(math.Log(ratio), paceWeight)
	t.paceAt.Store(now.UnixNano())
}

// holds tells whether the upstream can serve the model asked for. One that doesn't
// say what it holds is taken to hold it.
func (t *target) holds(ask *Request) bool {
	r := t.report.Load()
	if r == nil || len(r.Models) == 0 || ask.Model == "" {
		return true
	}
	for i := range r.Models {
		if r.Models[i].serves(ask) {
			return true
		}
	}
	return false
}

func (m *LoadedModel) serves(ask *Request) bool {
	if m.Model != ask.Model || (ask.Version != "" && ask.Version != m.Version) {
		return false
	}
	if ask.Adapter == "" {
		return true
	}
	for _, adapter := range m.Adapters {
		if adapter == ask.Adapter {
			return true
		}
	}
	return false
}
