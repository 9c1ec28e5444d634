package admission

import (
	"math"
	"time"
)

// usageWindow is the time constant with which usage is forgotten.
const usageWindow = 10 * time.Second

// usage is what a flow was admitted lately, in tokens.
type usage struct {
	tokens float64
	at     time.Time
}

func (u *usage) add(cost float64, now time.Time) {
	u.tokens = u.lately(now) + cost
	u.at = now
}

func (u *usage) lately(now time.Time) float64 {
	if u.tokens == 0 {
		return 0
	}
	return u.tokens * math.Exp(-float64(now.Sub(u.at))/float64(usageWindow))
}
