package admission

import (
	"math"
	"time"

	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay given to a refused caller.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// Fraction of the limit from which the limit counts as in use.
	limitInUseFraction = 0.9
)

// Scheduler makes the admission decisions for one service on one node. It isn't safe for
// concurrent use. Every submitted request gets exactly one decision unless it is canceled: nil
// when admitted, a result error when refused.
type Scheduler struct {
	settings   Settings
	queue      fairQueue
	limiter    limiter
	overflow   overflow
	drain      drainRate
	waitPolicy waitPolicy
	inFlight   int
	counts     Counts
}

// Counts are totals since the process started.
type Counts struct {
	Admitted uint64
	Refused  uint64
	// Expired counts the refused requests that had waited too long.
	Expired uint64
	// Evicted counts the refused requests that were evicted to make room for others.
	Evicted uint64
}

// NewScheduler returns a scheduler without requests.
func NewScheduler(settings Settings) *Scheduler {
	return &Scheduler{settings: settings, limiter: newLimiter(settings), waitPolicy: newWaitPolicy(settings)}
}

// Counts returns the totals.
func (s *Scheduler) Counts() Counts { return s.counts }

// Limit returns how many requests may be at the upstreams at the same time.
func (s *Scheduler) Limit() int { return int(math.Round(s.limiter.limit + s.overflow.limit)) }

// LocalLimit returns how many of them may be in this region.
func (s *Scheduler) LocalLimit() int { return int(math.Round(s.limiter.limit)) }

// InFlight returns how many requests are at the upstreams.
func (s *Scheduler) InFlight() int { return s.inFlight }

// Waiting returns how many requests wait.
func (s *Scheduler) Waiting() int { return s.queue.length }

// Submit asks for a request's admission. onDecision is called once with the decision, possibly
// before Submit returns, and must not call the scheduler.
func (s *Scheduler) Submit(now time.Time, params routing.Request, onDecision func(err error)) *Request {
	r := &Request{Params: params, submittedAt: now, onDecision: onDecision, cost: s.cost(&params)}
	r.account = s.queue.account(params.Team, params.Account, float64(max(1, params.Weight)))
	r.belowShare = s.queue.isBelowShare(r.account, now, true)
	if s.queue.length == 0 && s.hasCapacity(r, now) {
		s.queue.charge(r, now)
		s.admit(r)
		return r
	}
	if err := s.queueingError(r, now); err != nil {
		s.waitPolicy.noteRefusal(now)
		s.refuse(r, err)
		return r
	}
	r.state = stateWaiting
	if s.queue.length == 0 {
		s.waitPolicy.queueStarted(now)
	}
	s.queue.push(r)
	s.dispatch(now)
	return r
}

func (s *Scheduler) cost(params *routing.Request) float64 {
	if tokens := params.PromptTokens + params.AnswerTokens; tokens > 0 {
		return float64(tokens)
	}
	return s.settings.DefaultTokens
}

// queueingError returns why the request must be refused immediately, or nil if it may wait.
func (s *Scheduler) queueingError(r *Request, now time.Time) error {
	if d := r.Params.Deadline; !d.IsZero() && !d.After(now) {
		return result.New(result.Overloaded, "the deadline for the first token has passed").WithRetryAfter(minRetryAfter)
	}
	wait := s.expectedWait(r, now)
	allowed := r.waitDeadline(s.waitPolicy.maxWait(r.belowShare)).Sub(now)
	if wait > allowed {
		return overloadedError(r, wait-allowed)
	}
	if len(r.account.waiting) >= s.settings.MaxAccountQueue {
		return overloadedError(r, wait)
	}
	if s.queue.length < s.settings.MaxQueue {
		return nil
	}
	return s.evictFor(r, wait)
}

// evictFor refuses the newest request of the account with the largest backlog for its share.
// Without it a single account could fill the queue and all others would be refused.
func (s *Scheduler) evictFor(r *Request, wait time.Duration) error {
	mostBacklogged := s.queue.mostBacklogged()
	if mostBacklogged == nil || mostBacklogged == r.account {
		return overloadedError(r, wait)
	}
	victim := mostBacklogged.last()
	s.queue.remove(victim)
	s.counts.Evicted++
	s.refuse(victim, overloadedError(victim, wait))
	return nil
}

func overloadedError(r *Request, after time.Duration) error {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return result.New(result.Overloaded, "service %s can't begin the request in time", r.Params.Service).WithRetryAfter(after)
}

// expectedWait returns how long the request would wait, from the account's backlog and its
// share of the drain rate. It is zero until a drain rate has been measured.
func (s *Scheduler) expectedWait(r *Request, now time.Time) time.Duration {
	rate := s.drain.perSecond(now)
	if rate <= 0 {
		return 0
	}
	ahead := min(r.account.backlog/s.queue.fairShare(r.account), s.queue.backlog)
	return time.Duration(ahead / rate * float64(time.Second))
}

// Release records that an admitted request has left the upstreams.
func (s *Scheduler) Release(now time.Time, r *Request) {
	if r.state != stateAdmitted {
		return
	}
	r.state = stateDone
	s.inFlight--
	s.drain.recordCompletion(r.cost, now)
	s.dispatch(now)
}

// Cancel removes a waiting request whose caller has gone, without a decision. It returns false
// if the decision came first.
func (s *Scheduler) Cancel(r *Request) bool {
	if r.state != stateWaiting {
		return false
	}
	s.queue.remove(r)
	r.state = stateDone
	return true
}

// Observe processes the load reported by the upstreams of this region and of others. It is
// called at a fixed interval.
func (s *Scheduler) Observe(now time.Time, local, remote routing.Pressure) {
	s.waitPolicy.observe(now, s.queue.length > 0)
	inUse := s.queue.length > 0 || float64(s.inFlight) >= limitInUseFraction*s.limiter.limit
	if local.Slots <= 0 {
		s.limiter.recoverTowardInitial()
	} else {
		s.limiter.observe(local, s.settings.TargetWaitingRatio, inUse)
	}
	s.overflow.observe(remote, inUse)
	s.dispatch(now)
}

// Configure applies changed settings, for example when engines or nodes join or leave.
func (s *Scheduler) Configure(updated Settings) {
	s.settings, s.waitPolicy.settings = updated, updated
	s.limiter.configure(updated)
}

// Standing reports whether a standing queue was detected: requests have waited for a long time
// without a gap.
func (s *Scheduler) Standing() bool { return s.waitPolicy.standing }

// Expire refuses requests that have waited too long. It must be called often enough that
// callers hear of it soon.
func (s *Scheduler) Expire(now time.Time) {
	s.queue.forEach(func(r *Request) {
		if r.waitDeadline(s.waitPolicy.maxWait(r.belowShare)).After(now) {
			return
		}
		s.queue.remove(r)
		s.counts.Expired++
		s.waitPolicy.noteRefusal(now)
		s.refuse(r, overloadedError(r, s.expectedWait(r, now)))
	})
}

func (s *Scheduler) dispatch(now time.Time) {
	for r := s.queue.peek(); r != nil && s.hasCapacity(r, now); r = s.queue.peek() {
		s.queue.dequeue(r, now)
		if !r.waitDeadline(s.waitPolicy.maxWait(r.belowShare)).After(now) {
			s.counts.Expired++
			s.waitPolicy.noteRefusal(now)
			s.refuse(r, overloadedError(r, 0))
			continue
		}
		s.admit(r)
	}
}

// hasCapacity reports whether the limit leaves room for the request. The last part of the limit
// is reserved for accounts below their share: if others filled it, a small account would have
// to wait for another request to finish before its own could begin.
func (s *Scheduler) hasCapacity(r *Request, now time.Time) bool {
	limit := s.limiter.limit + s.overflow.limit
	if !s.queue.isBelowShare(r.account, now, false) {
		limit -= math.Ceil(s.settings.BelowShareReserve * limit)
	}
	return float64(s.inFlight) < math.Round(max(1, limit))
}

func (s *Scheduler) admit(r *Request) {
	s.inFlight++
	s.counts.Admitted++
	r.resolve(stateAdmitted, nil)
}

func (s *Scheduler) refuse(r *Request, err error) {
	s.counts.Refused++
	r.resolve(stateDone, err)
}
