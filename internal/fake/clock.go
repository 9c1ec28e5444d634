package fake

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock is the real clock with timers built on time.AfterFunc. Runtime channel timers
// that fire without a waiter run on whichever thread inspects them; in a synctest bubble
// under the race detector two such threads share one race context, and the process
// crashes inside the detector (Go 1.26.8).
type Clock struct{ clockwork.Clock }

// NewClock returns a clock for use in a synctest bubble.
func NewClock() Clock { return Clock{clockwork.NewRealClock()} }

// After implements clockwork.Clock.
func (c Clock) After(d time.Duration) <-chan time.Time { return c.NewTimer(d).Chan() }

// NewTimer implements clockwork.Clock.
func (c Clock) NewTimer(d time.Duration) clockwork.Timer {
	t := &timer{fired: make(chan time.Time, 1)}
	t.inner = time.AfterFunc(d, func() { t.send(time.Now()) })
	return t
}

// NewTicker implements clockwork.Clock.
func (c Clock) NewTicker(d time.Duration) clockwork.Ticker {
	t := &ticker{timer: timer{fired: make(chan time.Time, 1)}, period: d}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inner = time.AfterFunc(d, t.tick)
	return t
}

// timer implements clockwork.Timer.
type timer struct {
	inner *time.Timer
	fired chan time.Time
}

func (t *timer) send(now time.Time) {
	select {
	case t.fired <- now:
	default:
	}
}

// Chan implements clockwork.Timer.
func (t *timer) Chan() <-chan time.Time { return t.fired }

// Reset implements clockwork.Timer.
func (t *timer) Reset(d time.Duration) bool { return t.inner.Reset(d) }

// Stop implements clockwork.Timer.
func (t *timer) Stop() bool { return t.inner.Stop() }

// ticker implements clockwork.Ticker.
type ticker struct {
	timer
	mu      sync.Mutex
	period  time.Duration
	stopped bool
}

func (t *ticker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.send(time.Now())
	t.inner.Reset(t.period)
}

// Reset implements clockwork.Ticker.
func (t *ticker) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.period, t.stopped = d, false
	t.inner.Reset(d)
}

// Stop implements clockwork.Ticker.
func (t *ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.inner.Stop()
}
