package routing

import (
	"time"

	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing/cache"
	"lavenderpin.dev/lavenderpin/routing/score"
)

const (
	maxChoices = 4
	// noUpstreamRetryAfter is the retry delay sent with a NoUpstream error.
	noUpstreamRetryAfter = 2 * time.Second
)

// pickCall is the state of one Pick call. It lives on the stack.
type pickCall struct {
	balancer *Balancer
	service  *service
	table    *table
	request  Request
	now      time.Time
	cached   cache.MatchLengths
	// pauses is nil if no upstream is paused.
	pauses *pauses
	// probe is set when the request is to probe an unhealthy upstream.
	probe      bool
	sawStalled bool
	rngState   uint64
}

// selectUpstream returns the index of the chosen upstream, or -1.
func (c *pickCall) selectUpstream() int {
	if len(c.request.Prefix) > 0 {
		c.balancer.index.Match(c.request.Prefix, c.now, &c.cached)
	}
	c.rngState = c.balancer.random()
	if index := c.pickFromSample(); index >= 0 {
		return index
	}
	for _, requirement := range [...]healthRequirement{requireResponsive, allowStalled, allowUnhealthy} {
		index := c.scan(requirement)
		if index >= 0 && !(c.sawStalled && requirement == requireResponsive && c.tooManyStalled()) {
			return index
		}
	}
	return -1
}

func (c *pickCall) tooManyStalled() bool {
	stalled := 0
	for i := range c.table.entries {
		if c.table.entries[i].target.stalled(c.balancer.settings.StallTimeout, c.now) {
			stalled++
		}
	}
	limit := c.balancer.settings.MaxStalledShare * float64(len(c.table.entries))
	return float64(stalled) > max(1, limit)
}

// scan samples all upstreams in one pass and returns the best of the sample. The filters
// run only on upstreams that would enter the sample.
func (c *pickCall) scan(requirement healthRequirement) int {
	var local, remote sample
	localRegion := c.table.regionMeans[c.request.Region]
	choices := c.balancer.settings.Choices
	for i := range c.table.entries {
		e := &c.table.entries[i]
		candidates := &remote
		if e.regionMean == localRegion {
			candidates = &local
		}
		key, matchLength := c.nextRandom(), c.matchLength(e.cacheID)
		if !candidates.accepts(key, matchLength, choices) || !c.eligible(e) {
			continue
		}
		// A region that is unreachable isn't worth a request while this one has upstreams.
		if (candidates == &local || localRegion == nil) && c.takeProbe(e.target, requirement) {
			return i
		}
		if c.healthy(e.target, requirement) {
			candidates.offer(i, key, matchLength, choices)
		}
	}
	localBest := c.best(&local)
	if c.localSuffices(localBest) {
		return localBest.index
	}
	return c.chooseRegion(localBest, &remote)
}

// localSuffices reports whether the best upstream of this region is good enough that other
// regions needn't be compared.
func (c *pickCall) localSuffices(localBest scoredUpstream) bool {
	return localBest.index >= 0 && localBest.cost <= c.crossRegionCost() && !c.service.localLimitReached()
}

// chooseRegion returns the better of the best local and the best remote upstream, or -1.
func (c *pickCall) chooseRegion(localBest scoredUpstream, remote *sample) int {
	remoteBest := c.best(remote)
	if localBest.index < 0 || (remoteBest.index >= 0 && (c.shouldSpill(remoteBest) || remoteBest.cost+c.crossRegionCost() < localBest.cost)) {
		return remoteBest.index
	}
	return localBest.index
}

// scoredUpstream is the best upstream of a sample.
type scoredUpstream struct {
	// index is the position in the table, -1 for none.
	index int
	cost  time.Duration
	// full is set if the upstream probably has no free slot.
	full bool
}

// best returns the sampled upstream with the lowest cost: the expected time to first token
// plus the interference with other requests. It starts at a random candidate, so that ties
// are spread.
func (c *pickCall) best(s *sample) scoredUpstream {
	best := scoredUpstream{index: -1}
	candidates := s.candidates()
	first := int(c.nextRandom() >> 33)
	for n := range candidates {
		i := candidates[(first+n)%len(candidates)]
		t := c.table.entries[i].target
		u := c.scoringState(t)
		cost := c.balancer.settings.Costs.TimeToFirstToken(u, c.uncached(t)) + c.balancer.settings.Costs.Interference(u, c.uncached(t))
		if best.index < 0 || cost < best.cost {
			best = scoredUpstream{index: i, cost: cost, full: u.Requests+1 > u.Slots}
		}
	}
	return best
}

// predict returns the expected time to first token at an upstream.
func (c *pickCall) predict(t *target) time.Duration {
	return c.balancer.settings.Costs.TimeToFirstToken(c.scoringState(t), c.uncached(t))
}

// scoringState returns the estimated state of an upstream, for scoring.
func (c *pickCall) scoringState(t *target) score.Upstream {
	settings := &c.balancer.settings
	r := t.report.Load()
	weight := 0.0
	if r != nil {
		weight = score.ReportWeight(c.now.Sub(r.sampled), settings.ReportDecay)
	}
	return score.Upstream{
		Requests:    t.requestLoad(r, t.regionMean.requests.load()).Estimate(weight) + c.slowStartRequests(t),
		Pending:     t.pendingLoad(r, t.regionMean.pending.load()).Estimate(weight),
		Slots:       t.slots,
		ServiceTime: time.Duration(t.serviceTime.load() * float64(time.Second)),
		Slowdown:    t.currentSlowdown(c.now),
	}
}

// slowStartRequests returns the virtual requests added to a new upstream's load, which fall
// linearly to zero. Its cache is empty and its first requests are slow, so a burst at the
// start would delay the callers routed there.
func (c *pickCall) slowStartRequests(t *target) float64 {
	left := c.balancer.settings.SlowStart - c.now.Sub(t.joined)
	if left <= 0 {
		return 0
	}
	return t.slots * float64(left) / float64(c.balancer.settings.SlowStart)
}

// uncached estimates how many prompt tokens the upstream has to prefill.
func (c *pickCall) uncached(t *target) float64 {
	return float64(max(1, c.request.PromptTokens-c.matchLength(t.cacheID)*c.balancer.settings.BlockTokens))
}

func (c *pickCall) matchLength(cacheID int) int {
	if cacheID == noCacheID {
		return 0
	}
	return int(c.cached[cacheID])
}

// crossRegionCost returns how much sooner an upstream of another region must be expected to
// answer. Only the prompt crosses the link, never the KV cache, which would saturate it for
// seconds.
func (c *pickCall) crossRegionCost() time.Duration {
	settings := &c.balancer.settings
	return settings.CrossRegionPenalty + time.Duration(c.request.PromptTokens)*settings.CrossRegionPerToken
}

// shouldSpill reports whether the request goes to another region because this one has
// reached its admission limit.
func (c *pickCall) shouldSpill(remoteBest scoredUpstream) bool {
	return c.service.localLimitReached() && !remoteBest.full && c.reportIsFresh(remoteBest.index)
}

// reportIsFresh reports whether an upstream's load report is recent. An unreachable region
// looks idle in old reports.
func (c *pickCall) reportIsFresh(index int) bool {
	r := c.table.entries[index].target.report.Load()
	return r != nil && c.now.Sub(r.sampled) <= c.balancer.settings.MaxReportAge
}

// nextRandom returns the next random number of this pick (SplitMix64).
func (c *pickCall) nextRandom() uint64 {
	c.rngState += 0x9e3779b97f4a7c15
	z := c.rngState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// noUpstreamError returns the error of a pick that found no upstream. If all are paused, also
// those that were tried, a new request can succeed once the first pause ends.
func (c *pickCall) noUpstreamError() error {
	if c.onlyRoomMissing() {
		return c.fullError()
	}
	var earliest time.Duration
	allPaused := true
	for i := range c.table.entries {
		e := &c.table.entries[i]
		if !c.servable(e) {
			continue
		}
		left := c.pauses.left(e.target.pauseKey, c.now)
		allPaused = allPaused && left > 0
		if earliest == 0 || left < earliest {
			earliest = left
		}
	}
	if allPaused && earliest > 0 {
		return allPausedError(c.request.Service, earliest)
	}
	return result.New(result.NoUpstream, "no upstream of %s is left to try", c.request.Service).WithRetryAfter(noUpstreamRetryAfter)
}

// eligible reports whether the upstream may get the request now, regardless of its health. Every
// pick checks it, also one that probes or falls back to unhealthy upstreams.
func (c *pickCall) eligible(e *entry) bool { return c.untried(e) && c.hasRoom(e.target) }

// untried reports whether the upstream may get the request, regardless of its health and of its room.
func (c *pickCall) untried(e *entry) bool {
	if c.pauses.left(e.target.pauseKey, c.now) > 0 || !c.servable(e) {
		return false
	}
	return len(c.request.Tried) == 0 || !c.request.Tried[e.target.name]
}

// servable reports whether the upstream may serve such a request, whatever became of this one
// there, and regardless of its health and of a pause.
func (c *pickCall) servable(e *entry) bool { return !e.draining && e.target.serves(&c.request) }
