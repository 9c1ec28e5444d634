package throttle

import (
	"math"
	"time"
)

// warmupTurnLength is how long a turn to send to a cold upstream is kept. It is shorter than defaultTurnLength because the
// bound of a cold upstream holds in any single second: turns that many nodes kept for a second would double its rate.
const warmupTurnLength = 300 * time.Millisecond

// warmupDeviations is how many standard deviations of the requests in one second the rate stays below the bound. The
// nodes don't agree on the moments of their turns, so that the number in a second varies like that of random arrivals.
const warmupDeviations = 4

// WarmupRate returns how many requests a second all nodes together may send to a cold upstream that takes perSecond, so
// that there are no more than bound in any second.
func WarmupRate(perSecond, bound float64) float64 {
	root := (math.Sqrt(warmupDeviations*warmupDeviations+4*max(0, bound)) - warmupDeviations) / 2 // solves x + warmupDeviations*sqrt(x) = bound
	return max(minPerSecond, min(perSecond, root*root/(1+warmupTurnLength.Seconds())))
}

// warmup limits how often one node sends to an upstream while it is cold. The zero value limits nothing.
type warmup struct {
	pace
	until time.Duration
}

func (w *warmup) begin(perSecond float64, part Part, until, now time.Duration, random float64) {
	w.expire(now)
	w.turnLength, w.losesTurns = warmupTurnLength, true
	w.name(perSecond, part, now, random)
	w.until = max(w.until, until)
}

// expire ends the limit once the upstream is warm.
func (w *warmup) expire(now time.Duration) {
	if w.limited && now >= w.until {
		w.limited = false
	}
}

// BeginWarmup records that the upstream is cold until a time and takes so many requests a second meanwhile from all
// nodes together. part is this node's part of them, random a number from 0 to 1.
func (l *Limiter) BeginWarmup(perSecond float64, part Part, until, now time.Duration, random float64) {
	l.mu.Lock()
	defer l.unlock()
	l.warmup.begin(perSecond, part, until, now, random)
}

// EndWarmup ends the limit before the upstream is warm, since the configuration names none.
func (l *Limiter) EndWarmup() {
	if l.lock() {
		defer l.unlock()
		l.warmup.limited = false
	}
}

// WarmingUp reports whether the upstream's requests are limited because it is cold.
func (l *Limiter) WarmingUp(now time.Duration) bool {
	if !l.lock() {
		return false
	}
	defer l.unlock()
	l.warmup.expire(now)
	return l.warmup.limited
}
