package placement

import (
	"math"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

const (
	// reportFade is the time constant with which a report on other nodes' requests gives way to the mean of the service: most
	// requests end within it.
	reportFade = 1500 * time.Millisecond
	// maxOthersFactor bounds the largest estimate in multiples of the mean, so that one upstream with a mistaken report or a crowd of its own
	// doesn't keep long prompts from the others.
	maxOthersFactor = 2
	// meanTTL is how long the mean of the reports holds after the newest of them. Then it fades, so that requests are sent again,
	// and reports received, where all upstreams seemed full.
	meanTTL = 4 * time.Second
	// speedPrior is the number of observations of normal speed that an upstream starts with, so that the first ones don't
	// move many requests at once.
	speedPrior = 1
	// minSpeed and maxSpeed bound the relative speed that is acted on.
	minSpeed, maxSpeed = 0.25, 4
)

// serviceMeans is what an upstream that reports slow-downs is compared with: the means over those of its service. The zero value
// has none.
type serviceMeans struct {
	// uneven reports that upstreams of the service report slow-downs; those that haven't reported yet count as such as well.
	uneven bool
	// speed is the mean observed speed, in units of work a nanosecond; zero if none was observed.
	speed float64
	// others is the mean number of other nodes' requests at an upstream, load that of all nodes' requests.
	others, load float64
	// affine is the mean number of requests that this node placed for shared parts of prompts, relative to speed; placed
	// is that of all requests, by data centre.
	affine float64
	placed map[string]float64
	// plain reports that upstreams of the service report their load without a slow-down.
	plain bool
	// maxOthers is the largest estimate of other nodes' requests at an upstream, within maxOthersFactor of the mean.
	maxOthers float64
}

// newServiceMeans returns the means over the upstreams that may take requests.
func newServiceMeans(upstreams []*directory.Upstream, now time.Duration) serviceMeans {
	m := serviceMeans{}
	var speeds, reports, weights, own, count float64
	newest := time.Duration(0)
	for _, u := range upstreams {
		load := u.Load()
		m.plain = m.plain || load.At != 0 && !load.ReportsSlowdown()
		if !load.ReportsSlowdown() || !u.Accepts(now) {
			continue
		}
		m.uneven = true
		if mean, n := u.WorkTime(); n > 0 {
			m.speed += 1 / mean
			speeds++
		}
		weight := reportWeight(&load, now)
		reports += weight * othersReported(&load)
		weights += weight
		newest = max(newest, load.At)
		own += float64(u.InFlight.Load())
		count++
	}
	if !m.uneven {
		return m
	}
	if speeds > 0 {
		m.speed /= speeds
	}
	if weights > 0 {
		m.others = reports / weights * fade(now-newest-meanTTL)
	}
	m.load = m.others + own/count
	m.maxOthers = m.others
	limit := maxOthersFactor*m.others + 1
	for _, u := range upstreams {
		if load := u.Load(); load.ReportsSlowdown() && u.Accepts(now) {
			m.maxOthers = max(m.maxOthers, min(limit, m.othersAt(&load, now)))
		}
	}
	m.addPlaced(upstreams, now)
	return m
}

// addPlaced computes the means of what this node placed.
func (m *serviceMeans) addPlaced(upstreams []*directory.Upstream, now time.Duration) {
	m.placed = make(map[string]float64)
	speeds, total := make(map[string]float64), 0.0
	for _, u := range upstreams {
		if load := u.Load(); !m.applies(&load) || !u.Accepts(now) {
			continue
		}
		all, affine := u.Placed(now)
		speed := m.speedOf(u)
		speeds[u.DataCentre] += speed
		total += speed
		m.placed[u.DataCentre] += all
		m.affine += affine
	}
	for dc, speed := range speeds {
		m.placed[dc] /= speed
	}
	m.affine /= total
}

// applies reports whether an upstream is compared with the means of its service.
func (m *serviceMeans) applies(load *directory.Load) bool {
	return load.ReportsSlowdown() || m.uneven && load.At == 0
}

// reportWeight returns how much a report still tells of other nodes' requests.
func reportWeight(load *directory.Load, now time.Duration) float64 {
	if load.At == 0 {
		return 0
	}
	return fade(now - load.At)
}

// fade returns what is left after a time of something that fades with reportFade.
func fade(elapsed time.Duration) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / reportFade.Seconds())
}

// othersReported returns how many requests of other nodes an upstream reported.
func othersReported(load *directory.Load) float64 {
	return float64(max(0, load.Running+load.Waiting-load.Own))
}

// othersAt estimates how many requests of other nodes an upstream has now.
func (m *serviceMeans) othersAt(load *directory.Load, now time.Duration) float64 {
	weight := reportWeight(load, now)
	return weight*othersReported(load) + (1-weight)*m.others
}

// speedOf returns the upstream's speed relative to the others of its service.
func (m *serviceMeans) speedOf(u *directory.Upstream) float64 {
	mean, n := u.WorkTime()
	if n == 0 || m.speed == 0 {
		return 1
	}
	observed := min(maxSpeed, max(minSpeed, 1/(mean*m.speed)))
	return (speedPrior + float64(n)*observed) / (speedPrior + float64(n))
}
