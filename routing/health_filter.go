package routing

// healthRequirement is how healthy an upstream must be. Each scan of a pick relaxes it, so
// that a pick falls back to unhealthy upstreams before it fails.
type healthRequirement int

const (
	// requireResponsive accepts upstreams with a closed breaker that aren't stalled.
	requireResponsive healthRequirement = iota
	// allowStalled also accepts stalled upstreams.
	allowStalled
	// allowUnhealthy accepts all: if every upstream looks bad, the fault may be on this node.
	allowUnhealthy
)

func (c *pickCall) healthy(t *target, requirement healthRequirement) bool {
	if requirement == allowUnhealthy {
		return true
	}
	if !t.breaker.IsClosed() {
		return false
	}
	if requirement == requireResponsive && t.stalled(c.balancer.settings.StallTimeout, c.now) {
		c.sawStalled = true
		return false
	}
	return true
}

// takeProbe claims the probe of an upstream whose breaker is due for one. Only a request's
// first attempt may be a probe.
func (c *pickCall) takeProbe(t *target, requirement healthRequirement) bool {
	if t.breaker.IsClosed() || requirement == allowUnhealthy || len(c.request.Tried) > 0 || !t.breaker.MayProbe(c.now) {
		return false
	}
	c.probe = t.breaker.BeginProbe()
	return c.probe
}
