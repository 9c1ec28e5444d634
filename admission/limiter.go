package admission

import "math"

const (
	limitDecrease = 0.93
	limitIncrease = 0.03
)

// limiter is the number of requests that may be at the upstreams together. Each node
// keeps its own; as all see the same reports, additive increase and multiplicative
// decrease bring their shares towards their demands.
type limiter struct {
	limit    float64
	smallest float64
	largest  float64
}

func newLimiter(s Settings) limiter {
	return limiter{limit: float64(s.FirstLimit), smallest: 1, largest: float64(s.MaxLimit)}
}

func (l *limiter) value() int { return int(math.Round(l.limit)) }

// observe takes in how much of the upstreams' slots has a request waiting behind it,
// and whether this node's limit is in use.
func (l *limiter) observe(waitingShare, target float64, inUse bool) {
	switch {
	case waitingShare > target:
		l.limit = max(l.smallest, l.limit*limitDecrease)
	case inUse:
		l.limit = min(l.largest, l.limit+max(1, l.limit*limitIncrease))
	}
}
