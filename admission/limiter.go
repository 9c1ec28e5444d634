package admission

import "lavenderpin.dev/lavenderpin/routing"

const (
	// limiterGain is the relative change of the limit for each whole slot per slot by
	// which the upstreams' queues miss the target.
	limiterGain = 1.0
	// limiterSmoothing is the weight of the latest report.
	limiterSmoothing = 0.5
	// The bounds of one change. Reports lag, so the limit must not run ahead of them.
	mostDecrease = 0.10
	mostIncrease = 0.03
	// freeShare is the part of the upstreams' free slots that one change may add, so
	// that a node to which all callers turn isn't held to its small first share for
	// long while engines idle. Several nodes may do so at once.
	freeShare = 0.125
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
	return limiter{limit: float64(s.InitialLimit), first: float64(s.InitialLimit), smallest: 1, largest: float64(s.MaxLimit)}
}

// observe takes in what the upstreams report and whether this node's limit is in use.
// target is the share of their slots that may have a request waiting behind it.
func (l *limiter) observe(p routing.Pressure, target float64, inUse bool) {
	l.share += limiterSmoothing * (p.Waiting/p.Slots - l.share)
	change := l.limit * min(max(limiterGain*(target-l.share), -mostDecrease), mostIncrease)
	if free := p.Slots - p.Running - p.Waiting; change > 0 && free > 0 {
		change = max(change, free*freeShare)
	}
	bound := l.largest
	if !inUse {
		bound = max(l.first, l.limit)
	}
	l.limit = min(max(l.smallest, l.limit+change), bound)
}

// forget goes back towards the first limit when no report is to be had.
func (l *limiter) forget() {
	l.share = 0
	l.limit = max(l.limit, min(l.first, l.limit*(1+mostIncrease)))
}

// configure takes over settings that changed.
func (l *limiter) configure(s Settings) {
	l.first, l.largest = float64(s.InitialLimit), float64(s.MaxLimit)
	l.limit = min(l.limit, l.largest)
}
