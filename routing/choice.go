package routing

import (
	"time"

	"lavenderpin.dev/lavenderpin/routing/cache"
	"lavenderpin.dev/lavenderpin/routing/score"
)

const (
	maxChoices = 4
	// comeBackAfter is named in a refusal for want of an upstream.
	comeBackAfter = 2 * time.Second
)

// choice is one pick in progress. It lives on the stack.
type choice struct {
	balancer *Balancer
	table    *table
	ask      Ask
	now      time.Time
	depths   cache.Depths
	// probe is set when the choice is to try out an unhealthy upstream.
	probe      bool
	sawStalled bool
	seed       uint64
}

// choose returns the index of the upstream to take, or -1.
func (c *choice) choose() int {
	if len(c.ask.Prefix) > 0 {
		c.balancer.index.Depths(c.ask.Prefix, c.now, &c.depths)
	}
	c.seed = c.balancer.random()
	for _, health := range [...]healthDemand{healthStrict, healthStalledToo, healthAny} {
		at := c.pass(health)
		if at >= 0 && !(c.sawStalled && health == healthStrict && c.tooManyStalled()) {
			return at
		}
	}
	return -1
}

func (c *choice) tooManyStalled() bool {
	stalled := 0
	for i := range c.table.entries {
		if c.table.entries[i].target.stalled(c.balancer.settings.StallAfter, c.now) {
			stalled++
		}
	}
	limit := c.balancer.settings.MaxStalled * float64(len(c.table.entries))
	return float64(stalled) > max(1, limit)
}

// pass samples the upstreams once and returns the best of the sample. Only those that
// would enter the sample are filtered.
func (c *choice) pass(health healthDemand) int {
	var local, remote sample
	home := c.table.regions[c.ask.Region]
	choices := c.balancer.settings.Choices
	for i := range c.table.entries {
		e := &c.table.entries[i]
		region := &remote
		if e.region == home {
			region = &local
		}
		roll, depth := c.roll(), c.depth(e.holder)
		if !region.wants(roll, depth, choices) || !c.eligible(e) {
			continue
		}
		if c.takeProbe(e.target, health) {
			return i
		}
		if c.healthy(e.target, health) {
			region.offer(i, roll, depth, choices)
		}
	}
	near, nearTime := c.best(&local)
	far, farTime := c.best(&remote)
	if near < 0 || (far >= 0 && farTime+c.linkCost(far) < nearTime) {
		return far
	}
	return near
}

// best returns the sampled upstream with the earliest first token expected. It starts
// anywhere, so that equals take turns.
func (c *choice) best(s *sample) (at int, expected time.Duration) {
	at = -1
	candidates := s.candidates()
	first := int(c.roll() >> 33)
	for n := range candidates {
		i := candidates[(first+n)%len(candidates)]
		t := c.table.entries[i].target
		u := c.state(t)
		cost := c.balancer.settings.Costs.FirstToken(u, c.uncached(t)) + c.balancer.settings.Costs.Burden(u, c.uncached(t))
		if at < 0 || cost < expected {
			at, expected = i, cost
		}
	}
	return at, expected
}

// predict returns when the first token is expected from an upstream.
func (c *choice) predict(t *target) time.Duration {
	return c.balancer.settings.Costs.FirstToken(c.state(t), c.uncached(t))
}

// state returns what is known of an upstream, for scoring.
func (c *choice) state(t *target) score.Upstream {
	settings := &c.balancer.settings
	r := t.report.Load()
	requests := t.requestLoad(r, t.region.requests.load(), c.now).Estimate(settings.Fade)
	return score.Upstream{
		Requests: requests + c.spare(t),
		Pending:  t.pendingLoad(r, t.region.pending.load(), c.now).Estimate(settings.Fade),
		Slots:    t.slots,
		Service:  time.Duration(t.service.load() * float64(time.Second)),
		Pace:     t.currentPace(c.now),
	}
}

// spare returns requests that a new upstream is taken to have, falling to none. Its
// cache is empty and its first requests are slow, so a flood at the start would make
// the callers sent there wait.
func (c *choice) spare(t *target) float64 {
	left := c.balancer.settings.SlowStart - c.now.Sub(t.since)
	if left <= 0 {
		return 0
	}
	return t.slots * float64(left) / float64(c.balancer.settings.SlowStart)
}

// uncached returns how many prompt tokens the upstream must probably prefill.
func (c *choice) uncached(t *target) float64 {
	return float64(max(1, c.ask.PromptTokens-c.depth(t.holder)*c.balancer.settings.BlockTokens))
}

func (c *choice) depth(holder int) int {
	if holder == noHolder {
		return 0
	}
	return int(c.depths[holder])
}

// linkCost returns what the link between the regions adds. Only the prompt crosses
// it, never KV cache: that would fill the link for seconds.
func (c *choice) linkCost(at int) time.Duration {
	if c.table.candidates[at].GetRegion() == c.ask.Region {
		return 0
	}
	settings := &c.balancer.settings
	return settings.LinkPenalty + time.Duration(c.ask.PromptTokens)*settings.LinkPerToken
}

// roll returns the next random number of this pick (SplitMix64).
func (c *choice) roll() uint64 {
	c.seed += 0x9e3779b97f4a7c15
	z := c.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (c *choice) comeBack() time.Duration { return comeBackAfter }

// eligible tells whether the upstream may take the request at all.
func (c *choice) eligible(e *entry) bool {
	if e.draining || !e.target.holds(&c.ask) {
		return false
	}
	return len(c.ask.Tried) == 0 || !c.ask.Tried[e.target.name]
}
