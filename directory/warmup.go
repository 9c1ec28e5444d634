package directory

import (
	"math/rand/v2"
	"time"

	"lavenderpin.dev/lavenderpin/throttle"
)

// WarmupPolicy tells how requests to cold upstreams are limited.
type WarmupPolicy interface {
	// Warmup returns how long a service's upstreams are cold after their start, and how many requests a second one
	// takes meanwhile from all nodes together; zero if any number.
	Warmup(service string) (duration time.Duration, perSecond float64)
	// Part returns this node's part of the requests to the upstreams of a data centre.
	Part(dataCentre string) throttle.Part
}

// cool records that an upstream is cold for a time, if it is, and limits the requests to it. The caller must hold mu.
func (t *Table) cool(u *Upstream, left time.Duration) {
	if left > 0 {
		u.coldUntil.Store(max(u.coldUntil.Load(), int64(t.clock.Now()+left)))
	}
	t.limitCold(u)
}

// limitCold limits the requests to an upstream while it is cold. The caller must hold mu.
func (t *Table) limitCold(u *Upstream) {
	now, until := t.clock.Now(), time.Duration(u.coldUntil.Load())
	if until <= now || t.Warmup == nil {
		return
	}
	if _, perSecond := t.Warmup.Warmup(u.Service); perSecond > 0 {
		u.Throttle.BeginWarmup(perSecond, t.Warmup.Part(u.DataCentre), until, now, rand.Float64())
		return
	}
	u.Throttle.EndWarmup()
}

// ConfigChanged applies the limits of the configuration in force to cold upstreams: another rate, none, or the first one if a
// node that starts read the entries before.
func (t *Table) ConfigChanged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.entries {
		t.limitCold(u)
	}
}

// WarmupLeft returns how much longer the upstream is cold, by its entry or since its data centre was evacuated.
func (s *Stats) WarmupLeft(now time.Duration) time.Duration {
	return max(0, time.Duration(s.coldUntil.Load())-now)
}
