package gateway

import (
	"slices"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/throttle"
)

// armRamp makes an upstream that couldn't be reached be ramped up with its next answer, if that is enabled for it.
func (c *call) armRamp(u *directory.Upstream, now time.Duration) {
	if c.g.RampStart == nil {
		return
	}
	if start, ok := c.g.RampStart(u.Entry); ok {
		u.Throttle.ArmRamp(start, now, random())
	}
}

// observeAnswer records the start of an answer for an upstream's ramp.
func (c *call) observeAnswer(u *directory.Upstream) {
	if !u.Throttle.RampEnabled() {
		return
	}
	now, load := c.g.Clock.Now(), u.Load()
	u.Throttle.Observe(throttle.Answer{Load: throttle.Load{Running: load.Running, Waiting: load.Waiting, Slots: u.Slots}, HasLoad: load.At != 0 && load.At >= c.lastSentAt,
		Wait: now - c.lastSentAt, Objective: c.route.Objective}, now)
}

// pickBeyondRamps picks an upstream that only its ramp keeps from taking the request. A ramp spreads requests over other
// upstreams; where none is left, as when all of a service start at once, it is no reason to refuse.
func (c *call) pickBeyondRamps() (placement.PickResult, bool) {
	upstreams := c.upstreams()
	if !slices.ContainsFunc(upstreams, func(u *directory.Upstream) bool { return u.Throttle.Ramping() }) {
		return placement.PickResult{}, false
	}
	query := c.query()
	query.BeyondRamps = true
	return c.g.Picker.Pick(query, upstreams)
}

// takeRoom opens a request at an upstream if it has room; beyondRamps is set if no ramp limits it.
func (c *call) takeRoom(u *directory.Upstream, beyondRamps bool) bool {
	if beyondRamps {
		return u.OpenBeyondRamp(c.g.Clock.Now(), random())
	}
	return u.Open(c.g.Clock.Now(), random())
}

// What upstream_ramps counts beside the outcomes.
const (
	rampStarted   = "started"
	rampRecovered = "recovered"
)

// RecordRampBegin counts a ramp that began.
func (m *Metrics) RecordRampBegin(r throttle.RampReport) {
	if r.Recovered {
		m.ramps.Add(rampRecovered, 1)
		return
	}
	m.ramps.Add(rampStarted, 1)
}

// RecordRampEnd counts a ramp that ended.
func (m *Metrics) RecordRampEnd(r throttle.RampReport) { m.ramps.Add(string(r.Outcome), 1) }
