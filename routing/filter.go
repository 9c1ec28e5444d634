package routing

// healthDemand is how much health a pick asks for. Each pass asks for less than the
// one before, so that doubtful upstreams are used before a request is refused.
type healthDemand int

const (
	// healthStrict takes upstreams with a closed breaker that don't stall.
	healthStrict healthDemand = iota
	// healthStalledToo takes those that stall as well.
	healthStalledToo
	// healthAny takes all: if every one looks bad, the fault may be on this side.
	healthAny
)

func (c *choice) healthy(t *target, demand healthDemand) bool {
	if demand == healthAny {
		return true
	}
	if !t.breaker.IsClosed() {
		return false
	}
	if demand == healthStrict && t.stalled(c.balancer.settings.StallTimeout, c.now) {
		c.sawStalled = true
		return false
	}
	return true
}

// takeProbe claims the probe of an upstream whose breaker may let one through. Only a
// first attempt is risked on it.
func (c *choice) takeProbe(t *target, demand healthDemand) bool {
	if t.breaker.IsClosed() || demand == healthAny || len(c.ask.Tried) > 0 || !t.breaker.MayProbe(c.now) {
		return false
	}
	c.probe = t.breaker.BeginProbe()
	return c.probe
}
