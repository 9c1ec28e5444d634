package edgenode

import (
	"time"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/throttle"
)

// warmupPolicy is the node as its table of upstreams sees it.
type warmupPolicy Node

var _ directory.WarmupPolicy = (*warmupPolicy)(nil)

// Warmup returns the limits that the configuration in force names for a service's cold upstreams.
func (p *warmupPolicy) Warmup(service string) (time.Duration, float64) {
	s := (*Node)(p).configuredService(service)
	if s == nil || !s.Warmup.Limited() {
		return 0, 0
	}
	perSecond := s.Warmup.RequestsPerSecond
	return s.Warmup.Duration, throttle.WarmupRate(perSecond, perSecond*max(1, p.settings.WarmupOverage)+p.settings.WarmupSlack)
}

// Part returns this node's part of the requests to the upstreams of a data centre.
func (p *warmupPolicy) Part(dataCentre string) throttle.Part { return (*Node)(p).sendPart(dataCentre) }
