package routing

import (
	"math"
	"sync/atomic"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/routing/health"
	"lavenderpin.dev/lavenderpin/routing/score"
	"lavenderpin.dev/lavenderpin/throttle"
)

const (
	defaultSlots = 16
	// initialServiceTime is the mean time of a request before any is measured.
	initialServiceTime = 5.0
	serviceTimeWeight  = 0.05
	slowdownWeight     = 0.15
	// slowdownDecay is the time constant with which a measured slowdown decays: a slow
	// upstream gets no requests, so nothing else would show that it recovered.
	slowdownDecay = 30 * time.Second
	maxSlowdown   = 16.0
	noCacheID     = -1
)

// target is this node's state of one upstream. All fields are safe for concurrent use.
type target struct {
	name string
	// pauseKey is the upstream's key in the balancer's pauses.
	pauseKey string
	slots    float64
	// cacheID is the upstream's number in the prefix index.
	cacheID    int
	joined     time.Time
	breaker    *health.Breaker
	regionMean *meanLoad
	// healthState is one of targetHealthy, targetUnhealthy and targetRemoved.
	healthState atomic.Int32

	requests history
	// pending counts the prompt tokens of requests that await their first token.
	pending history
	// awaitingFirstToken counts the requests themselves.
	awaitingFirstToken atomic.Int64
	lastProgress       atomic.Int64

	report      atomic.Pointer[receivedReport]
	serviceTime ewma // in seconds
	logSlowdown ewma // natural logarithm
	slowdownAt  atomic.Int64

	lastEvent atomic.Uint64
	// throttle limits the requests by what the upstream says of itself. heardAt is when it last
	// answered, since the balancer's start.
	throttle throttle.Limiter
	heardAt  atomic.Int64
}

// receivedReport is a load report with this node's own load at the time of its sample.
type receivedReport struct {
	LoadReport
	sampled     time.Time
	ownRequests float64
	ownPending  float64
}

func newTarget(u *operatorv1.Upstream, cacheID int, joined time.Time, breaker *health.Breaker, regionMean *meanLoad) *target {
	t := &target{name: u.GetName(), pauseKey: pauseKey(u), slots: float64(u.GetSlots()), cacheID: cacheID, joined: joined, breaker: breaker, regionMean: regionMean}
	if t.slots == 0 {
		t.slots = defaultSlots
	}
	t.serviceTime.store(initialServiceTime)
	t.heardAt.Store(math.MinInt64 / 2) // never
	return t
}

func (t *target) setReport(report LoadReport, now time.Time) {
	sampled := now.Add(-report.Age)
	t.report.Store(&receivedReport{
		LoadReport:  report,
		sampled:     sampled,
		ownRequests: float64(t.requests.valueAt(sampled, now)),
		ownPending:  float64(t.pending.valueAt(sampled, now)),
	})
}

// otherNodesLoad returns other nodes' requests and pending tokens as of the latest report.
func (t *target) otherNodesLoad() (requests, pending float64, known bool) {
	r := t.report.Load()
	if r == nil {
		return 0, 0, false
	}
	return t.requestLoad(r, 0).OtherNodes(), t.pendingLoad(r, 0).OtherNodes(), true
}

func (t *target) requestLoad(r *receivedReport, mean float64) score.Load {
	l := score.Load{Own: float64(t.requests.value()), MeanOtherNodes: mean}
	if r != nil {
		l.OwnAtSample, l.Reported = r.ownRequests, float64(r.Running+r.Waiting)
	}
	return l
}

func (t *target) pendingLoad(r *receivedReport, mean float64) score.Load {
	l := score.Load{Own: float64(t.pending.value()), MeanOtherNodes: mean}
	if r != nil {
		l.OwnAtSample, l.Reported = r.ownPending, float64(r.PendingTokens)
	}
	return l
}

// stalled reports whether requests await their first token and the upstream has made no
// progress for longer than timeout. This detects a hang long before the requests time out.
func (t *target) stalled(timeout time.Duration, now time.Time) bool {
	return t.awaitingFirstToken.Load() > 0 && now.UnixNano()-t.lastProgress.Load() > int64(timeout)
}

// currentSlowdown returns the measured slowdown, decayed toward 1 since the last measurement.
func (t *target) currentSlowdown(now time.Time) float64 {
	if t.logSlowdown.load() == 0 {
		return 1
	}
	age := float64(now.UnixNano() - t.slowdownAt.Load())
	return math.Exp(t.logSlowdown.load() * math.Exp(-age/float64(slowdownDecay)))
}

func (t *target) observeSlowdown(predicted, actual time.Duration, slowdown float64, now time.Time) {
	ratio := float64(actual) / float64(max(predicted, time.Millisecond)) * slowdown
	ratio = min(max(ratio, 1/maxSlowdown), maxSlowdown)
	t.logSlowdown.store(math.Log(t.currentSlowdown(now)))
	t.logSlowdown.observe(math.Log(ratio), slowdownWeight)
	t.slowdownAt.Store(now.UnixNano())
}

// serves reports whether the upstream has the requested model loaded and runs the requested version
// of its software. An upstream that doesn't report these is assumed to fit.
func (t *target) serves(request *Request) bool {
	r := t.report.Load()
	if r != nil && request.SoftwareVersion != "" && r.SoftwareVersion != "" && r.SoftwareVersion != request.SoftwareVersion {
		return false
	}
	if r == nil || len(r.Models) == 0 || request.Model == "" {
		return true
	}
	for i := range r.Models {
		if r.Models[i].matches(request) {
			return true
		}
	}
	return false
}

func (m *LoadedModel) matches(request *Request) bool {
	if m.Model != request.Model || (request.Version != "" && request.Version != m.Version) {
		return false
	}
	if request.Adapter == "" {
		return true
	}
	for _, adapter := range m.Adapters {
		if adapter == request.Adapter {
			return true
		}
	}
	return false
}
