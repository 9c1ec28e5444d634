package gateway

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/throttle"
)

// The reasons of refusals while every upstream left limits its requests.
const (
	reasonNoRoom  = "every upstream left has no room, or has not answered yet"
	reasonAtLimit = "every upstream left gets as many requests as it takes"
)

// recordBrittle records whether an upstream says that it is brittle. If that is new, it holds for the others
// of the service from which nothing was heard lately as well.
func (c *call) recordBrittle(u *directory.Upstream, resp *Response) {
	if !resp.Brittle {
		if u.Throttle.Revoke() {
			c.g.Events.Record(event.UpstreamBrittle, "upstream", u.ID, "service", u.Service, "brittle", false)
		}
		return
	}
	now, senders := c.g.Clock.Now(), c.g.Senders()
	if !u.Throttle.Announce(resp.BrittleLimit, u.Slots, senders, now, random()) {
		return
	}
	c.g.Events.Record(event.UpstreamBrittle, "upstream", u.ID, "service", u.Service, "brittle", true, "limit", resp.BrittleLimit, "slots", u.Slots, "senders", senders)
	for _, other := range c.listedUpstreams() {
		if !other.ReceivedWithin(throttle.HeardWindow, now) {
			other.Throttle.Announce(resp.BrittleLimit, other.Slots, senders, now, random())
		}
	}
}

const (
	// roomPollInterval is how often a waiting request looks for room: a plain service works for some 30 ms
	// on a request.
	roomPollInterval = 5 * time.Millisecond
	// maxRoomWait bounds the wait for room, as does a third of the route's objective.
	maxRoomWait = 250 * time.Millisecond
	// maxWaitingForRoom bounds the requests that wait at a time; beyond it, most would wait in vain.
	maxWaitingForRoom = 64
)

// awaitRoom waits until an upstream may have room, if one is left that lacks nothing else. It returns
// false if there is none soon, or if the request has waited for long enough.
func (c *call) awaitRoom(ctx context.Context) bool {
	wait, missing := c.roomWait()
	left := min(maxRoomWait, c.route.Objective/objectiveDivisor) - c.waitedForRoom
	if !missing || left <= 0 || wait > left || c.timeLeft() < c.g.settings.MinTimeLeft {
		return false
	}
	if c.g.waitingForRoom.Add(1) > maxWaitingForRoom {
		c.g.waitingForRoom.Add(-1)
		return false
	}
	defer c.g.waitingForRoom.Add(-1)
	startedAt := c.g.Clock.Now()
	defer func() { c.waitedForRoom += c.g.since(startedAt) }()
	timer := time.NewTimer(roomPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return true
}

// roomWait reports whether an upstream would take the request if it had room, and the least time until this
// node's turn at one of them. It is zero if one is limited by its room alone, which may be free at any time.
func (c *call) roomWait() (wait time.Duration, missing bool) {
	r, upstreams := c.query(), c.upstreams()
	now := r.Now
	for _, u := range upstreams {
		if c.wasSentTo(u) || !u.Accepts(now) || u.HasRoom(now) && !c.lacksMemory(r, u, upstreams) {
			continue
		}
		if _, turn, _ := u.Throttle.Limit(now); !missing || turn < wait {
			wait = turn
		}
		missing = true
	}
	return wait, missing
}

// recordLimit records whether an upstream names how many requests a second it takes from all nodes together.
func (c *call) recordLimit(u *directory.Upstream, resp *Response) {
	if resp.AddressReassigned {
		return // another upstream answered
	}
	if !resp.Limited {
		if u.Throttle.ClearLimit(c.lastSentAt) {
			c.g.Metrics.recordLimit(limitGone)
			c.g.Events.Record(event.UpstreamLimit, "upstream", u.ID, "service", u.Service, "limited", false)
		}
		return
	}
	part := c.g.SendPart(u.DataCentre)
	if u.Throttle.NameLimit(resp.RequestsPerSecond, part, c.g.Clock.Now(), random()) {
		c.g.Metrics.recordLimit(limitNamed)
		c.g.Events.Record(event.UpstreamLimit, "upstream", u.ID, "service", u.Service, "limited", true, "per_second", resp.RequestsPerSecond, "share", part.Share, "senders", part.Senders)
	}
}

// limitRetryAfter returns the retry delay while every upstream left is at its limit.
func (c *call) limitRetryAfter() time.Duration {
	now, perSecond := c.g.Clock.Now(), 0.0
	for _, u := range c.upstreams() {
		if rate, _, limited := u.Throttle.Limit(now); limited && u.Accepts(now) {
			perSecond += rate
		}
	}
	return roundUp(throttle.RetryAfter(perSecond, c.g.settings.Shedding.RetryAfter(random())), retryAfterPrecision)
}
