package routing

// Pressure is what a service's upstreams say of themselves, summed up.
type Pressure struct {
	// Running requests, and those that wait behind them.
	Running float64
	Waiting float64
	// Slots of the upstreams that reported; none when nothing is known.
	Slots float64
}

// Pressure sums up the latest reports of a service's upstreams in a region and
// outside of it. Only those count that take work and whose
// report is fresh: the last words of an engine that hangs would otherwise hold the
// admission of the whole service down.
func (b *Balancer) Pressure(serviceName, region string) (here, elsewhere Pressure) {
	s := (*b.services.Load())[serviceName]
	if s == nil {
		return Pressure{}, Pressure{}
	}
	table := s.table.Load()
	home := table.regions[region]
	now := b.clock.Now()
	for i := range table.entries {
		e := &table.entries[i]
		r := e.target.report.Load()
		if e.draining || r == nil || now.Sub(r.sampled) > b.settings.MaxReportAge {
			continue
		}
		if !e.target.breaker.IsClosed() || e.target.stalled(b.settings.StallTimeout, now) {
			continue
		}
		p := &elsewhere
		if e.region == home {
			p = &here
		}
		// One engine with a long queue is a matter for the choice, not for admission.
		p.Waiting += min(float64(r.Waiting), e.target.slots)
		p.Running += float64(r.Running)
		p.Slots += e.target.slots
	}
	return here, elsewhere
}

// LimitLocal sets how many of this node's requests of a service should be at the
// upstreams of its own region at most. Those above go to another region that has room.
func (b *Balancer) LimitLocal(serviceName string, limit int) {
	if s := (*b.services.Load())[serviceName]; s != nil {
		s.localLimit.Store(int64(limit))
	}
}
