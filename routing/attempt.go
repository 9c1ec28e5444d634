package routing

import (
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/result"
)

// attempt is one request at one upstream. Attempts are pooled, so that a pick allocates
// nothing; the generation keeps a late FirstToken from affecting the next request that
// reuses the attempt. Done must not be called twice.
type attempt struct {
	balancer   *Balancer
	service    *service
	target     *target
	generation atomic.Uint64
	done       func(err error)

	start     time.Time
	predicted time.Duration
	slowdown  float64
	tokens    int64
	// sameRegion is set if the upstream is in this node's region.
	sameRegion bool
	probe      bool
	answered   bool
}

func (a *attempt) firstToken(generation uint64) {
	if a.generation.Load() != generation || a.answered {
		return
	}
	now := a.balancer.clock.Now()
	a.markAnswered(now)
	a.target.observeSlowdown(a.predicted, now.Sub(a.start), a.slowdown, now)
}

// markAnswered removes the request from those that await a first token.
func (a *attempt) markAnswered(now time.Time) {
	if a.answered {
		return
	}
	a.answered = true
	a.target.pending.add(-a.tokens, now)
	a.target.awaitingFirstToken.Add(-1)
	a.target.lastProgress.Store(now.UnixNano())
}

func (a *attempt) finish(err error) {
	now := a.balancer.clock.Now()
	a.markAnswered(now)
	a.target.requests.add(-1, now)
	if a.sameRegion {
		a.service.localInFlight.Add(-1)
	}
	a.recordOutcome(err, now)
	a.recordBrittle(err, now)
	a.generation.Add(1)
	a.balancer.attempts.Put(a)
}

// recordOutcome reports the result to the breaker. Errors that the upstream didn't cause,
// such as a caller that disconnected, count neither as success nor as failure.
func (a *attempt) recordOutcome(err error, now time.Time) {
	breaker := a.target.breaker
	if err == nil {
		breaker.RecordSuccess(now, a.probe)
		a.target.serviceTime.observe(now.Sub(a.start).Seconds(), serviceTimeWeight)
		return
	}
	if result.From(err).Unsent {
		// What this node didn't send says nothing about the upstream's health.
		if a.probe {
			breaker.AbandonProbe()
		}
		return
	}
	switch result.CodeOf(err) {
	case result.NoUpstream, result.UpstreamFailed, result.AnswerCut, result.OutcomeUnknown:
		breaker.RecordFailure(now, a.probe, false)
	case result.AnswerCrossed:
		breaker.RecordFailure(now, a.probe, true)
	default:
		if a.probe {
			breaker.AbandonProbe()
		}
	}
}
