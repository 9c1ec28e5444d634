package linkload

import (
	"math"
	"time"
)

// rateWindow is how far back a rate counts, about: long enough to contain several long prompts on a link of 10 Mbit/s, and short
// against a rush of some seconds.
const rateWindow = 500 * time.Millisecond

// rate is a decaying mean of an amount per second.
type rate struct {
	amount float64
	at     time.Duration
}

func (r *rate) add(now time.Duration, amount float64) {
	r.amount, r.at = r.decayed(now)+amount, now
}

func (r *rate) perSecond(now time.Duration) float64 { return r.decayed(now) / rateWindow.Seconds() }

func (r *rate) decayed(now time.Duration) float64 {
	if r.amount == 0 {
		return 0
	}
	return r.amount * math.Exp(-max(0, now-r.at).Seconds()/rateWindow.Seconds())
}
