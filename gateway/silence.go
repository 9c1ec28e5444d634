package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

// errUpstreamSilent cancels a send whose upstream sent nothing for too long.
var errUpstreamSilent = errors.New("the upstream is silent")

// silenceMonitor cancels a retryable send when its upstream has become unresponsive. To a single
// request an unresponsive upstream looks like a slow one; without the monitor its callers would
// wait until their deadline while other upstreams are free.
//
// Under overload most late upstreams are busy, not unresponsive. Canceling their requests made
// these start again elsewhere, at the end of other queues, and used up the retry budget; later
// requests were then canceled with no retry left, although their upstreams would have responded.
// So a send is canceled only if this node received nothing from the upstream for any request,
// not while no other upstream takes it, and only after a retry has been granted.
type silenceMonitor struct {
	c      *call
	u      *directory.Upstream
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// timeout is how long the upstream may be silent; zero if the send is not monitored.
	timeout time.Duration
	stopped bool
}

// recheckInterval is the pause before the next check if the send was not canceled.
const recheckInterval = 200 * time.Millisecond

// monitorSilence starts to monitor a send for the start of its response.
func (c *call) monitorSilence(u *directory.Upstream, cancel context.CancelCauseFunc) *silenceMonitor {
	m := &silenceMonitor{c: c, u: u, cancel: cancel}
	timeout := time.Duration(c.g.settings.SilenceFactor * float64(c.route.Objective))
	lastAttempt := c.possibleRuns+1 >= c.route.MaxAttempts
	if c.route.Retryable() && !lastAttempt && timeout > 0 && c.timeLeft()-timeout >= c.route.Objective/2 {
		m.arm(timeout)
	}
	return m
}

// rearm restarts the timer for the next event of a stream.
func (m *silenceMonitor) rearm() {
	m.disarm()
	c := m.c
	if c.streamResumable() && c.possibleRuns+1 < c.route.MaxAttempts && c.route.MaxGap > 0 {
		m.arm(time.Duration(c.g.settings.GapFactor * float64(c.route.MaxGap)))
	}
}

func (m *silenceMonitor) arm(timeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timeout = timeout
	m.timer = time.AfterFunc(timeout, m.check)
}

func (m *silenceMonitor) disarm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
}

// stop ends the monitoring permanently.
func (m *silenceMonitor) stop() {
	m.disarm()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
}

// check runs when the timer fires and decides whether to cancel the send.
func (m *silenceMonitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.timer == nil {
		return
	}
	if m.u.ReceivedWithin(m.timeout/silenceDivisor, m.c.g.Clock.Now()) || m.c.noneLeftToTry() || !m.c.takeRetry() {
		m.timer.Reset(recheckInterval)
		return
	}
	m.c.retryTaken.Store(true)
	m.cancel(errUpstreamSilent)
}

// silenceDivisor divides the timeout into the silence towards all requests of this node that
// distinguishes an unresponsive upstream from a busy one.
const silenceDivisor = 2

// takeRetry takes one retry from the budget; false if the budget is exhausted.
func (c *call) takeRetry() bool {
	if c.retryTaken.Swap(false) {
		return true
	}
	return c.g.retryBudget(c.service.Name).TryRetry(c.g.LiveNodes())
}
