package routing

import (
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/throttle"
)

// maxOpenTries bounds how often a pick chooses again because other requests took the room of a brittle
// upstream meanwhile.
const maxOpenTries = 3

// fullRetryAfter is the retry delay sent while all brittle upstreams of a service are full; as much again
// is added by chance, so that callers don't return together.
const fullRetryAfter = 500 * time.Millisecond

// ObserveBrittle records that an upstream said that it falls over if it has to reject more than limit
// requests a second; rejected is set if it said so in a rejection. nodes is the number of nodes that send
// to it. It reports whether that is new.
func (b *Balancer) ObserveBrittle(u *operatorv1.Upstream, limit, nodes int, rejected bool) (isNew bool) {
	s, t := b.find(u.GetService(), u.GetName())
	if t == nil {
		return false
	}
	now := b.sinceStart(b.clock.Now())
	t.heardAt.Store(int64(now))
	isNew = t.throttle.Announce(limit, int(t.slots), nodes, now, b.randomFloat())
	if isNew {
		b.announceToUnheard(s, limit, nodes, now)
	}
	if rejected {
		t.throttle.Rejected(nodes, now, b.randomFloat())
	}
	return isNew
}

// ObserveLimit records that an upstream named how many requests a second it takes from all nodes together; nodes
// is their number. It reports whether the limit is another than before.
func (b *Balancer) ObserveLimit(u *operatorv1.Upstream, perSecond float64, nodes int) (changed bool) {
	_, t := b.find(u.GetService(), u.GetName())
	if t == nil {
		return false
	}
	return t.throttle.NameLimit(perSecond, throttle.Part{Share: 1 / float64(max(1, nodes)), Senders: nodes}, b.sinceStart(b.clock.Now()), b.randomFloat())
}

// announceToUnheard takes the upstreams of a service from which nothing was heard lately for brittle.
func (b *Balancer) announceToUnheard(s *service, limit, nodes int, now time.Duration) {
	for _, other := range s.table.Load().byName {
		if now-time.Duration(other.heardAt.Load()) > throttle.HeardWindow {
			other.throttle.Announce(limit, int(other.slots), nodes, now, b.randomFloat())
		}
	}
}

// sinceStart returns a time as the limiters of brittle upstreams take it.
func (b *Balancer) sinceStart(at time.Time) time.Duration { return at.Sub(b.startedAt) }

// randomFloat returns a random number from 0 to 1.
func (b *Balancer) randomFloat() float64 { return float64(b.random()>>11) / (1 << 53) }

// hasRoom reports whether the node may open another request at an upstream. Only one that limits its requests
// has ever none.
func (c *pickCall) hasRoom(t *target) bool {
	return !t.throttle.Active() || t.throttle.Allows(int(t.requests.value()), c.balancer.sinceStart(c.now))
}

// open reserves room at an upstream; false if others took it meanwhile.
func (c *pickCall) open(t *target) bool {
	return t.throttle.TryOpen(int(t.requests.value()), c.balancer.sinceStart(c.now), c.balancer.randomFloat())
}

// recordBrittle records the outcome of a request in the limiter of its upstream.
func (a *attempt) recordBrittle(err error, now time.Time) {
	limiter, at := &a.target.throttle, a.balancer.sinceStart(now)
	if err == nil {
		a.target.heardAt.Store(int64(at))
	}
	if !limiter.Active() {
		return
	}
	switch {
	case err == nil:
		limiter.Succeeded(a.target.reportedLoad(), now.Sub(a.start), at)
	case result.From(err).Unconnected:
		limiter.Failed(at, a.balancer.randomFloat())
	}
}

// reportedLoad returns the load that the upstream last reported. Plain services report none.
func (t *target) reportedLoad() throttle.Load {
	load := throttle.Load{Slots: int(t.slots)}
	if r := t.report.Load(); r != nil {
		load.Running, load.Waiting = r.Running, r.Waiting
	}
	return load
}

// maxTurnWait is how soon this node's turn at an upstream with a limit must come for a request to wait for it.
const maxTurnWait = 250 * time.Millisecond

// fullError returns the error of a pick while upstreams are only left that limit their requests.
func (c *pickCall) fullError() error {
	if wait := c.turnWait(); wait > maxTurnWait {
		return result.New(result.AtLimit, "every upstream of %s that is left gets as many requests as it takes", c.request.Service).WithRetryAfter(c.limitRetryAfter())
	}
	spread := time.Duration(c.balancer.randomFloat() * float64(fullRetryAfter))
	return result.New(result.Overloaded, "every upstream of %s that is left is brittle and has no room", c.request.Service).WithRetryAfter(fullRetryAfter + spread)
}

// turnWait returns the least time until this node's turn at an upstream that is left. It is zero if one is
// limited by its room alone.
func (c *pickCall) turnWait() time.Duration {
	least, found := time.Duration(0), false
	now := c.balancer.sinceStart(c.now)
	for i := range c.table.entries {
		if e := &c.table.entries[i]; c.untried(e) {
			if _, wait, _ := e.target.throttle.Limit(now); !found || wait < least {
				least, found = wait, true
			}
		}
	}
	return least
}

// limitRetryAfter returns the retry delay while every upstream that is left is at its limit.
func (c *pickCall) limitRetryAfter() time.Duration {
	perSecond := 0.0
	now := c.balancer.sinceStart(c.now)
	for i := range c.table.entries {
		if rate, _, limited := c.table.entries[i].target.throttle.Limit(now); limited {
			perSecond += rate
		}
	}
	spread := fullRetryAfter + time.Duration(c.balancer.randomFloat()*float64(fullRetryAfter))
	return throttle.RetryAfter(perSecond, spread)
}

// onlyRoomMissing reports whether an upstream would take the request if it had room.
func (c *pickCall) onlyRoomMissing() bool {
	for i := range c.table.entries {
		e := &c.table.entries[i]
		if c.untried(e) && !c.hasRoom(e.target) {
			return true
		}
	}
	return false
}
