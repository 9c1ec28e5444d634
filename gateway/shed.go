package gateway

import (
	"time"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/shedding"
)

// shed refuses a prompt before it is sent if upstreams respond too late. Plain services refuse
// requests themselves when they are full.
func (c *call) shed(upstreams []*directory.Upstream) *result.Error {
	if c.service.Engine == nil {
		return nil
	}
	now := c.g.Clock.Now()
	var waits []time.Duration
	for _, u := range upstreams {
		if u.Accepts(now) && !u.InBackoff(now) {
			waits = append(waits, u.EstimatedWait(now))
		}
	}
	typical, policy := shedding.MedianWait(waits), c.g.settings.Shedding
	if policy.Admit(typical, c.route.Objective, random()) {
		return nil
	}
	return result.New(result.Overloaded, "upstreams begin to answer after %v, the objective is %v", typical.Round(time.Millisecond), c.route.Objective).WithRetryAfter(policy.RetryAfter(random()))
}
