package gateway

import (
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/result"
)

// The reasons of refusals for lack of an upstream.
const (
	reasonNoneLeft   = "no upstream is left"
	reasonAllPaused  = "every upstream left asked for a pause"
	reasonUndeclared = "the versions of the upstreams that are left aren't declared yet"
	reasonNoVersion  = "no upstream of the version that began the stream is left"
)

// refuseIfPaused refuses a request if all upstreams asked for a pause.
func (c *call) refuseIfPaused() *result.Error {
	if !c.onlyPausedLeft() {
		return nil
	}
	return result.New(result.NoUpstream, "%s", reasonAllPaused).WithRetryAfter(c.capacityRetryAfter())
}

// noUpstreamReason returns why no upstream could be picked.
func (c *call) noUpstreamReason() string {
	wait, roomMissing := c.roomWait()
	switch {
	case c.onlyPausedLeft():
		return reasonAllPaused
	case roomMissing && wait > 0:
		return reasonAtLimit
	case roomMissing && c.onlyMemoryMissing():
		c.g.Metrics.recordMemory(memoryTaken)
		return reasonNoMemory
	case roomMissing:
		return reasonNoRoom
	case c.origin.Load() != nil:
		return reasonNoVersion
	case c.onlyDeclared && slices.ContainsFunc(c.serviceUpstreams(), func(u *directory.Upstream) bool { return !c.mayBeginAt(u) }):
		return reasonUndeclared
	default:
		return reasonNoneLeft
	}
}

// onlyPausedLeft reports whether all upstreams that the request hasn't been sent to, and that don't
// leave, asked for a pause.
func (c *call) onlyPausedLeft() bool {
	now, paused := c.g.Clock.Now(), false
	for _, u := range c.upstreams() {
		switch {
		case c.wasSentTo(u), u.Leaving():
		case u.Paused(now):
			paused = true
		default:
			return false
		}
	}
	return paused
}

// noneLeftToTry reports whether no upstream that the request hasn't been sent to takes requests.
func (c *call) noneLeftToTry() bool {
	now := c.g.Clock.Now()
	return !slices.ContainsFunc(c.upstreams(), func(u *directory.Upstream) bool { return u.Accepts(now) && !c.wasSentTo(u) })
}

func (c *call) wasSentTo(u *directory.Upstream) bool {
	return c.upstream != nil && c.upstream.ID == u.ID ||
		slices.ContainsFunc(c.tried, func(t *directory.Upstream) bool { return t.ID == u.ID })
}

// capacityRetryAfter returns the retry delay if no upstream had capacity. The end of the first
// pause shortens it, but a later one doesn't lengthen it: upstreams pause for each node alone, and
// the caller picks another node.
func (c *call) capacityRetryAfter() time.Duration {
	now, delay := c.g.Clock.Now(), c.g.settings.BusyRetryAfter
	for _, u := range c.upstreams() {
		if u.Leaving() {
			continue
		}
		left := u.PauseLeft(now)
		if left == 0 {
			return c.g.settings.BusyRetryAfter
		}
		delay = min(delay, left)
	}
	return roundUp(delay, retryAfterPrecision)
}

// retryAfterPrecision is the precision with which callers are told a delay. Rounded up, it doesn't
// bring them back within the pause.
const retryAfterPrecision = time.Millisecond

func roundUp(d, precision time.Duration) time.Duration {
	return (d + precision - 1).Truncate(precision)
}
