package routing

// Pressure is the load that a service's upstreams report, summed up.
type Pressure struct {
	// Running and Waiting are the numbers of running and queued requests.
	Running float64
	Waiting float64
	// Slots is the total of the upstreams that reported; 0 when none did.
	Slots float64
}

// Pressure sums up the latest reports of a service's upstreams inside and outside of a
// region. It counts only upstreams that accept requests and whose report is fresh: the last
// report of an engine that hangs would otherwise throttle admission to the whole service.
func (b *Balancer) Pressure(serviceName, region string) (local, remote Pressure) {
	s := (*b.services.Load())[serviceName]
	if s == nil {
		return Pressure{}, Pressure{}
	}
	table := s.table.Load()
	localRegion := table.regionMeans[region]
	now := b.clock.Now()
	paused := b.pauses.Load().active(now)
	for i := range table.entries {
		e := &table.entries[i]
		r := e.target.report.Load()
		if e.draining || r == nil || now.Sub(r.sampled) > b.settings.MaxReportAge {
			continue
		}
		if paused.left(e.target.pauseKey, now) > 0 || !e.target.breaker.IsClosed() || e.target.stalled(b.settings.StallTimeout, now) {
			continue
		}
		p := &remote
		if e.regionMean == localRegion {
			p = &local
		}
		// A long queue at one engine is handled by routing, not by admission.
		p.Waiting += min(float64(r.Waiting), e.target.slots)
		p.Running += float64(r.Running)
		p.Slots += e.target.slots
	}
	return local, remote
}

// LimitLocal sets the most requests of a service that this node should have in flight in its
// own region. Requests above the limit spill to a region with free slots.
func (b *Balancer) LimitLocal(serviceName string, limit int) {
	if s := (*b.services.Load())[serviceName]; s != nil {
		s.localLimit.Store(int64(limit))
	}
}
