package routing

import (
	"math/bits"
	"slices"

	"lavenderpin.dev/lavenderpin/routing/cache"
)

// maxDraws bounds how often a pick draws before it looks at all upstreams instead.
const maxDraws = 8

// draw chooses among a few upstreams drawn at random and a few of those that hold most
// of the prompt, without looking at the others. It returns -1 when that isn't enough to
// go by: then all are looked at.
func (c *choice) draw() int {
	seen := c.table.seenFrom[c.ask.Region]
	if seen == nil || c.service.sick.Load() > 0 {
		return -1
	}
	var local, remote sample
	if !c.fill(&local, &seen.local) {
		return -1
	}
	near := c.best(&local)
	if c.nearEnough(near) {
		return near.at
	}
	if len(seen.remote.at) > 0 && !c.fill(&remote, &seen.remote) {
		return -1
	}
	return c.between(near, &remote)
}

// fill draws a sample; false when it met an upstream that isn't well, or too few that
// may take the request.
func (c *choice) fill(s *sample, g *group) bool {
	choices := min(c.balancer.settings.Choices, maxChoices)
	if len(g.at) < choices || !c.take(&s.random, g.at, choices) {
		return false
	}
	if len(c.ask.Prefix) == 0 {
		return true
	}
	var memory [cache.MaxEngines]int
	deepest := g.deepest(&c.depths, &memory)
	return c.take(&s.deep, deepest, min(deepChoices, len(deepest)))
}

// take draws so many different upstreams of those given.
func (c *choice) take(l *lottery, from []int, count int) bool {
	for draws := 0; l.count < count; draws++ {
		if draws == maxDraws {
			return false
		}
		high, _ := bits.Mul64(c.roll(), uint64(len(from)))
		at := from[high]
		if slices.Contains(l.at[:l.count], at) {
			continue
		}
		e := &c.table.entries[at]
		if !e.target.breaker.IsClosed() || e.target.stalled(c.balancer.settings.StallTimeout, c.now) {
			return false
		}
		if c.eligible(e) {
			l.at[l.count] = at
			l.count++
		}
	}
	return true
}
