package admission

import "lavenderpin.dev/lavenderpin/routing"

const (
	// limiterGain is the relative change of the limit per unit by which the waiting ratio
	// (waiting requests per slot) misses its target.
	limiterGain = 1.0
	// limiterSmoothing is the weight of the latest report in the moving average.
	limiterSmoothing = 0.5
	// Bounds of one relative change. Reports lag, so the limit must not run ahead of them.
	maxDecrease = 0.10
	maxIncrease = 0.03
	// freeSlotFraction is the fraction of the upstreams' free slots that one change may add, so
	// that a node that suddenly receives all traffic isn't held to its small initial limit for
	// long while engines idle. Several nodes may do so at the same time.
	freeSlotFraction = 0.125
)

// limiter adapts the number of requests that may be at the upstreams at the same time. Each
// node has its own limiter, and all see the same reports. A node that doesn't use its limit
// doesn't raise it, so that the others can grow into the free capacity.
type limiter struct {
	limit        float64
	initialLimit float64
	waitingRatio float64
	minLimit     float64
	maxLimit     float64
}

func newLimiter(s Settings) limiter {
	return limiter{limit: float64(s.InitialLimit), initialLimit: float64(s.InitialLimit), minLimit: 1, maxLimit: float64(s.MaxLimit)}
}

// observe processes the load that the upstreams report and whether this node's limit is in use.
// targetRatio is the accepted number of waiting requests per slot.
func (l *limiter) observe(pressure routing.Pressure, targetRatio float64, inUse bool) {
	l.waitingRatio += limiterSmoothing * (pressure.Waiting/pressure.Slots - l.waitingRatio)
	change := l.limit * min(max(limiterGain*(targetRatio-l.waitingRatio), -maxDecrease), maxIncrease)
	if free := pressure.Slots - pressure.Running - pressure.Waiting; change > 0 && free > 0 {
		change = max(change, free*freeSlotFraction)
	}
	bound := l.maxLimit
	if !inUse {
		bound = max(l.initialLimit, l.limit)
	}
	l.limit = min(max(l.minLimit, l.limit+change), bound)
}

// recoverTowardInitial raises a low limit towards the initial one when no reports are
// available.
func (l *limiter) recoverTowardInitial() {
	l.waitingRatio = 0
	l.limit = max(l.limit, min(l.initialLimit, l.limit*(1+maxIncrease)))
}

// configure applies changed settings.
func (l *limiter) configure(s Settings) {
	l.initialLimit, l.maxLimit = float64(s.InitialLimit), float64(s.MaxLimit)
	l.limit = min(l.limit, l.maxLimit)
}
