package gateway

import (
	"context"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/throttle"
)

// reasonNoRoom is the reason of refusals while all upstreams left are brittle and full.
const reasonNoRoom = "every upstream left is brittle and has no room"

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
	for _, other := range c.serviceUpstreams() {
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
// false if there is none, or if the request has waited for long enough.
func (c *call) awaitRoom(ctx context.Context) bool {
	if !c.onlyRoomMissing() {
		return false
	}
	limit := min(maxRoomWait, c.route.Objective/objectiveDivisor)
	if c.waitedForRoom >= limit || c.timeLeft() < c.g.settings.MinTimeLeft {
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

// onlyRoomMissing reports whether an upstream would take the request if it had room.
func (c *call) onlyRoomMissing() bool {
	now := c.g.Clock.Now()
	for _, u := range c.upstreams() {
		if !c.wasSentTo(u) && u.Accepts(now) && !u.HasRoom(now) {
			return true
		}
	}
	return false
}
