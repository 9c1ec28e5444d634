package admission

import "math"

const (
	// limiterGain is the relative change of the limit for each whole slot per slot by
	// which the upstreams' queues miss the target.
	limiterGain = 1.0
	// limiterSmoothing is the weight of the latest report.
	limiterSmoothing = 0.5
	// The bounds of one change. Reports lag, so the limit must not run ahead of them.
	mostDecrease = 0.10
	mostIncrease = 0.03
)

// limiter is the number of requests that may be at the upstreams together. Each node
// keeps its own; all see the same reports, and a node that doesn't use its limit leaves
// it, so that the others grow into what is free.
type limiter struct {
	limit    float64
	first    float64
	share    float64
	smallest float64
	largest  float64
}

func newLimiter(s Settings) limiter {
	return limiter{limit: float64(s.FirstLimit), first: float64(s.FirstLimit), smallest: 1, largest: float64(s.MaxLimit)}
}

func (l *limiter) value() int { return int(math.Round(l.limit)) }

// observe takes in how much of the upstreams' slots has a request waiting behind it,
// and whether this node's limit is in use.
func (l *limiter) observe(waitingShare, target float64, inUse bool) {
	l.share += limiterSmoothing * (waitingShare - l.share)
	change := min(max(limiterGain*(target-l.share), -mostDecrease), mostIncrease)
	bound := l.largest
	if !inUse {
		bound = max(l.first, l.limit)
	}
	l.limit = min(max(l.smallest, l.limit*(1+change)), bound)
}

// forget goes back towards the first limit when no report is to be had.
func (l *limiter) forget() {
	l.share = 0
	l.limit = max(l.limit, min(l.first, l.limit*(1+mostIncrease)))
}
