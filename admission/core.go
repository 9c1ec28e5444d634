package admission

import (
	"math"
	"time"

	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
)

const (
	// leastRetryAfter and mostRetryAfter bound when a refused caller is told to come
	// back.
	leastRetryAfter = 500 * time.Millisecond
	mostRetryAfter  = 30 * time.Second
	// Share of the limit above which it counts as in use.
	limitInUse = 0.9
)

// Scheduler decides for one service on one node. It isn't safe for concurrent use. Every
// offered item is told its verdict exactly once: nil when admitted, a result error
// when refused.
type Scheduler struct {
	settings Settings
	queue    fairQueue
	limiter  limiter
	overflow overflow
	drain    drainRate
	patience patience
	inFlight int
	counts   Counts
}

// Counts are totals since the start.
type Counts struct {
	Admitted uint64
	Refused  uint64
	// Expired are those of Refused that had waited in vain.
	Expired uint64
	// Evicted are those of Refused that made room for others.
	Evicted uint64
}

// NewScheduler returns a core without any requests.
func NewScheduler(settings Settings) *Scheduler {
	return &Scheduler{settings: settings, limiter: newLimiter(settings), patience: newPatience(settings)}
}

// Counts returns the totals.
func (c *Scheduler) Counts() Counts { return c.counts }

// Limit returns how many requests may be at the upstreams together.
func (c *Scheduler) Limit() int { return int(math.Round(c.limiter.limit + c.overflow.limit)) }

// LocalLimit returns how many of them may be in this region.
func (c *Scheduler) LocalLimit() int { return int(math.Round(c.limiter.limit)) }

// InFlight returns how many requests are at the upstreams.
func (c *Scheduler) InFlight() int { return c.inFlight }

// Waiting returns how many requests wait.
func (c *Scheduler) Waiting() int { return c.queue.length }

// Submit asks for a request's admission. decide is called once with the verdict,
// perhaps before Submit returns, and must not call the core.
func (c *Scheduler) Submit(now time.Time, ask routing.Request, decide func(err error)) *Request {
	i := &Request{Params: ask, arrived: now, decide: decide, cost: c.cost(&ask)}
	i.account = c.queue.account(ask.Team, ask.Account, float64(max(1, ask.Weight)))
	i.light = c.queue.isLight(i.account, now, true)
	if c.queue.length == 0 && c.hasRoom(i, now) {
		c.queue.charge(i, now)
		c.admit(i)
		return i
	}
	if err := c.reject(i, now); err != nil {
		c.patience.refused(now)
		c.refuse(i, err)
		return i
	}
	i.state = stateWaiting
	if c.queue.length == 0 {
		c.patience.began(now)
	}
	c.queue.push(i)
	c.serve(now)
	return i
}

func (c *Scheduler) cost(ask *routing.Request) float64 {
	if tokens := ask.PromptTokens + ask.AnswerTokens; tokens > 0 {
		return float64(tokens)
	}
	return c.settings.DefaultTokens
}

// reject returns why the request must be refused at once, nil if it may wait.
func (c *Scheduler) reject(i *Request, now time.Time) error {
	if d := i.Params.Deadline; !d.IsZero() && !d.After(now) {
		return result.New(result.Overloaded, "the deadline for the first token has passed").After(leastRetryAfter)
	}
	wait := c.expectedWait(i, now)
	allowed := i.lastMoment(c.patience.wait(i.light)).Sub(now)
	if wait > allowed {
		return overloaded(i, wait-allowed)
	}
	if len(i.account.waiting) >= c.settings.MaxAccountQueue {
		return overloaded(i, wait)
	}
	if c.queue.length < c.settings.MaxQueue {
		return nil
	}
	return c.makeRoom(i, wait)
}

// makeRoom refuses the newest request of the account with most waiting for its share.
// Without it one account's flood would fill the queue and all others would be refused.
func (c *Scheduler) makeRoom(i *Request, wait time.Duration) error {
	heaviest := c.queue.heaviest()
	if heaviest == nil || heaviest == i.account {
		return overloaded(i, wait)
	}
	victim := heaviest.last()
	c.queue.remove(victim)
	c.counts.Evicted++
	c.refuse(victim, overloaded(victim, wait))
	return nil
}

func overloaded(i *Request, after time.Duration) error {
	after = min(max(after, leastRetryAfter), mostRetryAfter)
	return result.New(result.Overloaded, "service %s can't begin the request in time", i.Params.Service).After(after)
}

// expectedWait returns how long the account's turn would take to come, from what it
// has waiting and its share of the drain rate. Nothing measured yet means no wait.
func (c *Scheduler) expectedWait(i *Request, now time.Time) time.Duration {
	rate := c.drain.perSecond(now)
	if rate <= 0 {
		return 0
	}
	ahead := min(i.account.backlog/c.queue.share(i.account), c.queue.backlog)
	return time.Duration(ahead / rate * float64(time.Second))
}

// Release tells that an admitted request has left the upstreams.
func (c *Scheduler) Release(now time.Time, i *Request) {
	if i.state != stateAdmitted {
		return
	}
	i.state = stateOver
	c.inFlight--
	c.drain.ended(i.cost, now)
	c.serve(now)
}

// Cancel takes out a waiting request whose caller has left; it is not told anything.
// False if the verdict came first.
func (c *Scheduler) Cancel(i *Request) bool {
	if i.state != stateWaiting {
		return false
	}
	c.queue.remove(i)
	i.state = stateOver
	return true
}

// Observe takes in what the upstreams of this region and of others report of
// themselves. It is called at a steady interval.
func (c *Scheduler) Observe(now time.Time, here, elsewhere routing.Pressure) {
	c.patience.observe(now, c.queue.length > 0)
	inUse := c.queue.length > 0 || float64(c.inFlight) >= limitInUse*c.limiter.limit
	if here.Slots <= 0 {
		c.limiter.forget()
	} else {
		c.limiter.observe(here, c.settings.TargetWaitingRatio, inUse)
	}
	c.overflow.observe(elsewhere, inUse)
	c.serve(now)
}

// Configure takes over settings that changed, as when engines or nodes come and go.
func (c *Scheduler) Configure(s Settings) {
	c.settings, c.patience.settings = s, s
	c.limiter.configure(s)
}

// Standing tells whether requests have waited without a break for long.
func (c *Scheduler) Standing() bool { return c.patience.standing }

// Expire refuses those that have waited too long. It is called often enough that a
// caller is told soon after.
func (c *Scheduler) Expire(now time.Time) {
	c.queue.each(func(i *Request) {
		if i.lastMoment(c.patience.wait(i.light)).After(now) {
			return
		}
		c.queue.remove(i)
		c.counts.Expired++
		c.patience.refused(now)
		c.refuse(i, overloaded(i, c.expectedWait(i, now)))
	})
}

func (c *Scheduler) serve(now time.Time) {
	for i := c.queue.peek(); i != nil && c.hasRoom(i, now); i = c.queue.peek() {
		c.queue.take(i, now)
		if !i.lastMoment(c.patience.wait(i.light)).After(now) {
			c.counts.Expired++
			c.patience.refused(now)
			c.refuse(i, overloaded(i, 0))
			continue
		}
		c.admit(i)
	}
}

// hasRoom tells whether the limit leaves room for the request. The last part of the
// limit is for accounts below their share: when others fill it, a small account waits
// for somebody's answer to end before its own request can begin.
func (c *Scheduler) hasRoom(i *Request, now time.Time) bool {
	limit := c.limiter.limit + c.overflow.limit
	if !c.queue.isLight(i.account, now, false) {
		limit -= math.Ceil(c.settings.BelowShareReserve * limit)
	}
	return float64(c.inFlight) < math.Round(max(1, limit))
}

func (c *Scheduler) admit(i *Request) {
	c.inFlight++
	c.counts.Admitted++
	i.answer(stateAdmitted, nil)
}

func (c *Scheduler) refuse(i *Request, err error) {
	c.counts.Refused++
	i.answer(stateOver, err)
}
