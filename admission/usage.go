package admission

import (
	"math"
	"time"
)

// usageWindow is the time constant with which past usage decays.
const usageWindow = 10 * time.Second

// usage is a decaying total of what a flow was admitted recently, in tokens.
type usage struct {
	tokens float64
	at     time.Time
}

func (u *usage) add(cost float64, now time.Time) {
	u.tokens = u.recent(now) + cost
	u.at = now
}

func (u *usage) recent(now time.Time) float64 {
	if u.tokens == 0 {
		return 0
	}
	return u.tokens * math.Exp(-float64(now.Sub(u.at))/float64(usageWindow))
}
