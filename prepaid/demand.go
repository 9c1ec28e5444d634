package prepaid

import (
	"math"
	"time"
)

// minDemandAge is the shortest time over which demand is averaged: a single long prompt says
// little about the demand of the next seconds.
const minDemandAge = 2 * time.Second

// seedAge is the age of a seeded estimate. It exceeds all windows, so that the seed is neither
// overrated at first nor when it decays.
const seedAge = time.Hour

// demandEstimate is an exponentially weighted estimate of a demand in tokens per second.
type demandEstimate struct {
	// rate is the estimate as of updatedAt.
	rate      float64
	updatedAt time.Duration
	// sum is the weighted sum of demand, since is when the first was added.
	sum     float64
	since   time.Duration
	started bool
}

// add adds a request's maximum use.
func (d *demandEstimate) add(tokens int64, now, window time.Duration) {
	if !d.started {
		d.since, d.updatedAt, d.started = now, now, true
	}
	d.decay(now, window)
	d.sum += float64(tokens)
	d.rate = d.average(now, window)
}

// seed starts the estimate from the rate that an earlier incarnation reported.
func (d *demandEstimate) seed(rate float64, now, window time.Duration) {
	*d = demandEstimate{rate: rate, updatedAt: now, sum: rate * window.Seconds(), since: now - seedAge, started: true}
}

// decay brings the estimate up to date.
func (d *demandEstimate) decay(now, window time.Duration) {
	if elapsed := now - d.updatedAt; elapsed > 0 {
		d.sum *= math.Exp(-elapsed.Seconds() / window.Seconds())
	}
	d.updatedAt = now
	d.rate = d.average(now, window)
}

// average divides the sum by the weight of the time that it covers. Divided by the whole window,
// the demand of the first seconds after a start would be underrated.
func (d *demandEstimate) average(now, window time.Duration) float64 {
	age := max(minDemandAge, now-d.since)
	return d.sum / (window.Seconds() * -math.Expm1(-age.Seconds()/window.Seconds()))
}
