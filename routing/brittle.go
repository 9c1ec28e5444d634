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

// hasRoom reports whether the node may open another request at an upstream. Only a brittle one has ever
// none.
func (c *pickCall) hasRoom(t *target) bool {
	return !t.throttle.Brittle() || t.throttle.Allows(int(t.requests.value()), c.balancer.sinceStart(c.now))
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
	if !limiter.Brittle() {
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

// fullError returns the error of a pick while upstreams are only left that are brittle and full.
func (c *pickCall) fullError() error {
	spread := time.Duration(c.balancer.randomFloat() * float64(fullRetryAfter))
	return result.New(result.Overloaded, "every upstream of %s that is left is brittle and has no room", c.request.Service).WithRetryAfter(fullRetryAfter + spread)
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
