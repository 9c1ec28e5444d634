package routing

import (
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/result"
)

// ticket is one request at one upstream. Tickets are used again, so that a pick
// allocates nothing; the generation keeps a late FirstToken from touching the next
// request. Done must not be called twice.
type ticket struct {
	balancer   *Balancer
	service    *service
	target     *target
	generation atomic.Uint64
	done       func(err error)

	at        time.Time
	predicted time.Duration
	pace      float64
	tokens    int64
	// local is set if the upstream is in the node's own region.
	local    bool
	probe    bool
	answered bool
}

func (t *ticket) firstToken(generation uint64) {
	if t.generation.Load() != generation || t.answered {
		return
	}
	now := t.balancer.clock.Now()
	t.answer(now)
	t.target.learnPace(t.predicted, now.Sub(t.at), t.pace, now)
}

// answer takes the request off what the upstream owes.
func (t *ticket) answer(now time.Time) {
	if t.answered {
		return
	}
	t.answered = true
	t.target.pending.add(-t.tokens, now)
	t.target.owing.Add(-1)
	t.target.progress.Store(now.UnixNano())
}

func (t *ticket) finish(err error) {
	now := t.balancer.clock.Now()
	t.answer(now)
	t.target.requests.add(-1, now)
	if t.local {
		t.service.local.Add(-1)
	}
	t.judge(err, now)
	t.generation.Add(1)
	t.balancer.tickets.Put(t)
}

// judge tells the breaker how the request ended. What isn't the upstream's doing,
// such as a caller that left, is no verdict.
func (t *ticket) judge(err error, now time.Time) {
	breaker := t.target.breaker
	if err == nil {
		breaker.RecordSuccess(now, t.probe)
		t.target.service.observe(now.Sub(t.at).Seconds(), serviceWeight)
		return
	}
	switch result.CodeOf(err) {
	case result.NoUpstream, result.UpstreamFailed, result.AnswerCut, result.OutcomeUnknown:
		breaker.RecordFailure(now, t.probe, false)
	case result.AnswerCrossed:
		breaker.RecordFailure(now, t.probe, true)
	default:
		if t.probe {
			breaker.AbandonProbe()
		}
	}
}
