package admission

import (
	"math"
	"time"
)

// drainWindow is the time constant of the measured drain rate.
const drainWindow = 3 * time.Second

// drainRate measures how many tokens' worth of requests end per second.
type drainRate struct {
	sum  float64
	last time.Time
}

func (d *drainRate) ended(cost float64, now time.Time) {
	d.decay(now)
	d.sum += cost
}

func (d *drainRate) decay(now time.Time) {
	if !d.last.IsZero() {
		d.sum *= math.Exp(-float64(now.Sub(d.last)) / float64(drainWindow))
	}
	d.last = now
}

// perSecond returns the rate; 0 when nothing has ended lately.
func (d *drainRate) perSecond(now time.Time) float64 {
	d.decay(now)
	return d.sum / drainWindow.Seconds()
}
