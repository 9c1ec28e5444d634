package queuedelay

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/periodic"
)

// decideInterval is the time between two decisions while a queue may be growing: short against shutDelay.
const decideInterval = 20 * time.Millisecond

// Guard shuts a node's listener for callers while what they send queues on the instance's link.
type Guard struct {
	Monitor  *Monitor
	Listener *Listener

	gate Gate
	// loggedAt is when a line was last written.
	loggedAt time.Duration
	isShut   atomic.Bool
	// times and shutTime count how often and for how many milliseconds connections were refused.
	times, shutTime expvar.Int
}

// IsShut reports whether connections are refused now.
func (g *Guard) IsShut() bool { return g != nil && g.isShut.Load() }

// Metrics returns how often and for how long connections were refused.
func (g *Guard) Metrics() expvar.Var {
	return expvar.Func(func() any {
		return map[string]int64{"times": g.times.Value(), "ms": g.shutTime.Value()}
	})
}

// Run shuts and opens the listener until ctx ends, and leaves it open.
func (g *Guard) Run(ctx context.Context) {
	m := g.Monitor
	var shutAt time.Duration
	for ctx.Err() == nil {
		now := m.Clock.Now()
		use := 0.0
		if m.Link != nil {
			use = m.Link.Use()
		}
		switch isShut := g.gate.Update(now, m.Delay(), use); {
		case isShut && !g.isShut.Load():
			shutAt = now
			g.shut(now)
		case !isShut && g.isShut.Load() && g.open():
			g.shutTime.Add((now - shutAt).Milliseconds())
		}
		periodic.Sleep(ctx, g.interval())
	}
	g.open()
}

// shut refuses connections from now on.
func (g *Guard) shut(now time.Duration) {
	m := g.Monitor
	g.times.Add(1)
	g.isShut.Store(true)
	if g.mayLog(now) {
		m.Events.Record(event.ConnectionsRefused, append([]any{"delay_ms", m.Delay().Milliseconds(), "times", g.times.Value(), "shut_ms", g.shutTime.Value()}, m.linkFields()...)...)
	}
	g.Listener.Shut()
}

// mayLog reports whether a line may be written, and takes note of it.
func (g *Guard) mayLog(now time.Duration) bool {
	if g.loggedAt != 0 && now-g.loggedAt < logInterval {
		return false
	}
	g.loggedAt = now
	return true
}

// open accepts connections again, and reports whether it did; otherwise it is tried again.
func (g *Guard) open() bool {
	if err := g.Listener.Open(); err != nil {
		if g.mayLog(g.Monitor.Clock.Now()) {
			g.Monitor.Events.Record(event.ListenFailed, "error", err)
		}
		return false
	}
	g.isShut.Store(false)
	return true
}

// interval returns the time until the next decision.
func (g *Guard) interval() time.Duration {
	switch {
	case g.isShut.Load() || g.Monitor.isBusy():
		return decideInterval
	case g.Monitor.IsNeeded():
		return shortInterval
	default:
		return usualInterval
	}
}
