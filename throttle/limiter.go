package throttle

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limiter limits the requests of one node to one upstream. The zero value limits nothing. It is safe
// for concurrent use.
type Limiter struct {
	// active is set while the upstream says something that limits its requests.
	active atomic.Bool
	// unheard is how many requests may be open until the upstream's first answer; zero if any number, or
	// if there was one.
	unheard atomic.Int64

	mu     sync.Mutex
	window window
	pace   pace
	warmup warmup
	ramp   ramp

	ramping rampSwitch
}

// AwaitAnswer limits the open requests until the upstream's first answer. What it says of itself is not known until
// then, and a fleet that restarts would send it all that it gets.
func (l *Limiter) AwaitAnswer(open int) { l.unheard.Store(int64(max(1, open))) }

// Heard records an answer of the upstream.
func (l *Limiter) Heard() {
	if l.unheard.Load() != 0 {
		l.unheard.Store(0)
	}
}

// allowsUnheard reports whether another request may be opened as far as it depends on a first answer.
func (l *Limiter) allowsUnheard(open int) bool {
	limit := l.unheard.Load()
	return limit == 0 || int64(open) < limit
}

// lock locks the limiter if it limits anything; the result is false otherwise.
func (l *Limiter) lock() bool {
	if !l.active.Load() {
		return false
	}
	l.mu.Lock()
	return true
}

// unlock must be called after each change.
func (l *Limiter) unlock() {
	l.ramping.begun.Store(l.ramp.active())
	l.active.Store(l.window.active || l.pace.limited || l.warmup.limited || l.ramp.active())
	l.mu.Unlock()
}

// Announce records that the upstream is brittle and falls over beyond limit rejections a second. slots is
// how many requests it runs at once, nodes the number of nodes that send to it, random a number from 0 to 1.
// It reports whether that is new.
func (l *Limiter) Announce(limit, slots, nodes int, now time.Duration, random float64) (isNew bool) {
	l.mu.Lock()
	defer l.unlock()
	return l.window.announce(limit, slots, nodes, now, random)
}

// Revoke records an answer that doesn't say that the upstream is brittle. It reports whether that is
// new.
func (l *Limiter) Revoke() (isNew bool) {
	if !l.lock() {
		return false
	}
	defer l.unlock()
	isNew = l.window.active
	l.window.active = false
	return isNew
}

// Active reports whether the upstream says something that limits its requests.
func (l *Limiter) Active() bool { return l.active.Load() }

// Brittle reports whether the upstream is brittle.
func (l *Limiter) Brittle() bool {
	if !l.lock() {
		return false
	}
	defer l.unlock()
	return l.window.active
}

// NameLimit records that an answer named how many requests a second the upstream takes from all nodes
// together. part is this node's part of them, random a number from 0 to 1. It reports whether the limit is
// another than before.
func (l *Limiter) NameLimit(perSecond float64, part Part, now time.Duration, random float64) (changed bool) {
	l.mu.Lock()
	defer l.unlock()
	return l.pace.name(perSecond, part, now, random)
}

// AdjustPart sets this node's part of what limits all nodes together.
func (l *Limiter) AdjustPart(part Part, now time.Duration) {
	if !l.lock() {
		return
	}
	defer l.unlock()
	for _, p := range []*pace{&l.pace, &l.warmup.pace} {
		if p.limited {
			p.adjust(part, now)
		}
	}
}

// InheritLimit takes over the limit of the limiter that this one replaces.
func (l *Limiter) InheritLimit(from *Limiter) {
	if !from.lock() {
		return
	}
	inherited := from.pace // being cold isn't inherited: each incarnation says so itself
	from.unlock()
	l.mu.Lock()
	defer l.unlock()
	l.pace = inherited
}

// ClearLimit records an answer that named no limit, to a request sent at a time. It reports whether there
// was one.
func (l *Limiter) ClearLimit(sentAt time.Duration) (changed bool) {
	if !l.lock() {
		return false
	}
	defer l.unlock()
	return l.pace.clear(sentAt)
}

// Limit returns how many requests a second the upstream takes from all nodes together, since it named a limit or is
// cold, and how long this node has to wait for its turn; false if it takes any number.
func (l *Limiter) Limit(now time.Duration) (perSecond float64, wait time.Duration, limited bool) {
	if !l.lock() {
		return 0, 0, false
	}
	defer l.unlock()
	l.warmup.expire(now)
	switch {
	case !l.warmup.limited:
		return l.pace.perSecond, l.pace.wait(now), l.pace.limited
	case !l.pace.limited:
		return l.warmup.perSecond, l.warmup.wait(now), true
	}
	return min(l.pace.perSecond, l.warmup.perSecond), max(l.pace.wait(now), l.warmup.wait(now)), true
}

// Allows reports whether the node may open another request beside the given number of open ones.
func (l *Limiter) Allows(open int, now time.Duration) bool {
	if !l.allowsUnheard(open) {
		return false
	}
	if !l.lock() {
		return true
	}
	defer l.unlock()
	return l.allows(open, now) && l.ramp.allows(open, now)
}

// allows reports whether another request may be opened as far as it doesn't depend on the ramp.
func (l *Limiter) allows(open int, now time.Duration) bool {
	l.window.expire(now)
	l.warmup.expire(now)
	if !l.window.allows(open, now) || l.pace.wait(now) > 0 || l.warmup.wait(now) > 0 {
		l.ramp.deniedElsewhere()
		return false
	}
	return true
}

// TryOpen is like Allows and records that the request is opened; random is a number from 0 to 1.
func (l *Limiter) TryOpen(open int, now time.Duration, random float64) bool {
	return l.tryOpen(open, now, random, false)
}

func (l *Limiter) tryOpen(open int, now time.Duration, random float64, beyondRamp bool) bool {
	if !l.allowsUnheard(open) {
		return false
	}
	if !l.lock() {
		return true
	}
	defer l.unlock()
	if !l.allows(open, now) || !l.ramp.allows(open, now) && !beyondRamp {
		return false
	}
	l.window.delayNext(now, 0.5+random)
	l.pace.take(now)
	l.warmup.take(now)
	l.ramp.take(open, random)
	return true
}

// Failed records that the upstream can't be reached; random is a number from 0 to 1. When it is back, the
// nodes don't all send at once.
func (l *Limiter) Failed(now time.Duration, random float64) {
	if l.lock() {
		defer l.unlock()
		l.window.delayNext(now, 0.5+random)
	}
}

// Rejected records that the upstream rejected a request for want of room; random is a number from 0
// to 1.
func (l *Limiter) Rejected(nodes int, now time.Duration, random float64) {
	if l.lock() {
		defer l.unlock()
		l.window.rejected(nodes, now, random)
	}
}

// Succeeded records that the upstream ran a request and what it said of its load. If no answer since the
// request was sent said that the upstream is brittle, or named a limit, that holds no longer.
func (l *Limiter) Succeeded(load Load, took, now time.Duration) {
	l.finishRamp(took, now)
	if l.lock() {
		defer l.unlock()
		l.window.succeeded(load, took, now)
		l.pace.clear(now - took)
	}
}
