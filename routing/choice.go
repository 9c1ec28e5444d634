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
	service  *service
	table    *table
	ask      Request
	now      time.Time
	depths   cache.MatchLengths
	// probe is set when the choice is to try out an unhealthy upstream.
	probe      bool
	sawStalled bool
	seed       uint64
}

// choose returns the index of the upstream to take, or -1.
func (c *choice) choose() int {
	if len(c.ask.Prefix) > 0 {
		c.balancer.index.Match(c.ask.Prefix, c.now, &c.depths)
	}
	c.seed = c.balancer.random()
	if at := c.draw(); at >= 0 {
		return at
	}
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
		if c.table.entries[i].target.stalled(c.balancer.settings.StallTimeout, c.now) {
			stalled++
		}
	}
	limit := c.balancer.settings.MaxStalledShare * float64(len(c.table.entries))
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
		// A region that is cut off isn't worth a request while this one has upstreams.
		if (region == &local || home == nil) && c.takeProbe(e.target, health) {
			return i
		}
		if c.healthy(e.target, health) {
			region.offer(i, roll, depth, choices)
		}
	}
	near := c.best(&local)
	if c.nearEnough(near) {
		return near.at
	}
	return c.between(near, &remote)
}

// nearEnough tells that the best upstream of this region is good enough not to compare
// it with those of others.
func (c *choice) nearEnough(near ranked) bool {
	return near.at >= 0 && near.cost <= c.linkCost() && !c.service.localFull()
}

// between returns the better one of the best of this region and that of others.
func (c *choice) between(near ranked, remote *sample) int {
	far := c.best(remote)
	if near.at < 0 || (far.at >= 0 && (c.spills(far) || far.cost+c.linkCost() < near.cost)) {
		return far.at
	}
	return near.at
}

// ranked is the best upstream of a sample.
type ranked struct {
	// at is its index, -1 for none.
	at   int
	cost time.Duration
	// full is set if it probably has no slot free.
	full bool
}

// best returns the sampled upstream with the earliest first token expected. It starts
// anywhere, so that equals take turns.
func (c *choice) best(s *sample) ranked {
	best := ranked{at: -1}
	candidates := s.candidates()
	first := int(c.roll() >> 33)
	for n := range candidates {
		i := candidates[(first+n)%len(candidates)]
		t := c.table.entries[i].target
		u := c.state(t)
		cost := c.balancer.settings.Costs.TimeToFirstToken(u, c.uncached(t)) + c.balancer.settings.Costs.Interference(u, c.uncached(t))
		if best.at < 0 || cost < best.cost {
			best = ranked{at: i, cost: cost, full: u.Requests+1 > u.Slots}
		}
	}
	return best
}

// predict returns when the first token is expected from an upstream.
func (c *choice) predict(t *target) time.Duration {
	return c.balancer.settings.Costs.TimeToFirstToken(c.state(t), c.uncached(t))
}

// state returns what is known of an upstream, for scoring.
func (c *choice) state(t *target) score.Upstream {
	settings := &c.balancer.settings
	r := t.report.Load()
	trust := 0.0
	if r != nil {
		trust = score.ReportWeight(c.now.Sub(r.sampled), settings.ReportDecay)
	}
	return score.Upstream{
		Requests:    t.requestLoad(r, t.region.requests.load()).Estimate(trust) + c.spare(t),
		Pending:     t.pendingLoad(r, t.region.pending.load()).Estimate(trust),
		Slots:       t.slots,
		ServiceTime: time.Duration(t.service.load() * float64(time.Second)),
		Slowdown:    t.currentPace(c.now),
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

// linkCost returns how much sooner another region must be expected to answer. Only the
// prompt crosses the link, never KV cache: that would fill it for seconds.
func (c *choice) linkCost() time.Duration {
	settings := &c.balancer.settings
	return settings.CrossRegionPenalty + time.Duration(c.ask.PromptTokens)*settings.CrossRegionPerToken
}

// spills tells whether the request goes to another region because this one has all
// that admission lets it have.
func (c *choice) spills(far ranked) bool {
	return c.service.localFull() && !far.full && c.heardLately(far.at)
}

// heardLately tells whether an upstream's report is fresh. A region that is cut off
// looks idle in old ones.
func (c *choice) heardLately(at int) bool {
	r := c.table.entries[at].target.report.Load()
	return r != nil && c.now.Sub(r.sampled) <= c.balancer.settings.MaxReportAge
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
