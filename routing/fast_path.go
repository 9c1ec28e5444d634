package routing

import (
	"math/bits"
	"slices"

	"lavenderpin.dev/lavenderpin/routing/cache"
)

// maxDraws bounds the random draws of a pick before it falls back to a full scan.
const maxDraws = 8

// pickFromSample chooses among a few random upstreams and a few with the longest cached
// prefix, without looking at the others. It returns -1 if that isn't possible; the caller
// then scans all upstreams.
func (c *pickCall) pickFromSample() int {
	view := c.table.regionViews[c.request.Region]
	if view == nil || c.service.unhealthy.Load() > 0 {
		return -1
	}
	var local, remote sample
	if !c.fillSample(&local, &view.local) {
		return -1
	}
	localBest := c.best(&local)
	if c.localSuffices(localBest) {
		return localBest.index
	}
	if len(view.remote.indexes) > 0 && !c.fillSample(&remote, &view.remote) {
		return -1
	}
	return c.chooseRegion(localBest, &remote)
}

// fillSample draws a sample. It returns false if it draws an unhealthy or stalled upstream
// or finds too few eligible ones.
func (c *pickCall) fillSample(s *sample, g *upstreamGroup) bool {
	choices := min(c.balancer.settings.Choices, maxChoices)
	if len(g.indexes) < choices || !c.drawRandom(&s.random, g.indexes, choices) {
		return false
	}
	if len(c.request.Prefix) == 0 {
		return true
	}
	var buffer [cache.MaxEngines]int
	longest := g.longestMatches(&c.cached, &buffer)
	return c.drawRandom(&s.cached, longest, min(cachedChoices, len(longest)))
}

// drawRandom draws count distinct upstreams from indexes.
func (c *pickCall) drawRandom(r *reservoir, indexes []int, count int) bool {
	for draws := 0; r.count < count; draws++ {
		if draws == maxDraws {
			return false
		}
		high, _ := bits.Mul64(c.nextRandom(), uint64(len(indexes)))
		index := indexes[high]
		if slices.Contains(r.indexes[:r.count], index) {
			continue
		}
		e := &c.table.entries[index]
		if !e.target.breaker.IsClosed() || e.target.stalled(c.balancer.settings.StallTimeout, c.now) {
			return false
		}
		if c.eligible(e) {
			r.indexes[r.count] = index
			r.count++
		}
	}
	return true
}
