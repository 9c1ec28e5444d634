package admission

import (
	"math"
	"time"
)

// drainWindow is the time constant of the drain rate estimate.
const drainWindow = 3 * time.Second

// drainRate estimates how many tokens' worth of requests complete per second.
type drainRate struct {
	tokens float64
	last   time.Time
}

func (d *drainRate) recordCompletion(cost float64, now time.Time) {
	d.decay(now)
	d.tokens += cost
}

func (d *drainRate) decay(now time.Time) {
	if !d.last.IsZero() {
		d.tokens *= math.Exp(-float64(now.Sub(d.last)) / float64(drainWindow))
	}
	d.last = now
}

// perSecond returns the rate; 0 if nothing completed recently.
func (d *drainRate) perSecond(now time.Time) float64 {
	d.decay(now)
	return d.tokens / drainWindow.Seconds()
}
