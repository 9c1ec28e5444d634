package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/directory"
)

// errSilent ends a send whose upstream said nothing for too long.
var errSilent = errors.New("the upstream is silent")

// silenceWatch ends a send that may be repeated when its upstream has gone dark. A dark
// upstream looks just like a slow one to a single request; without the watch its callers
// would wait until their deadline while others are free.
//
// Under a crowd most upstreams that are late are busy. Requests that were taken away from
// them began anew elsewhere, behind others, and used up the budget for repeats; the next
// ones were then cut off with nowhere to go, though their upstreams would have answered. So
// a send ends only if nothing came from the upstream to anybody here, and only with the
// right to send the request again in hand.
type silenceWatch struct {
	c      *call
	u      *directory.Upstream
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// wait is how long the upstream may be silent; zero if the send isn't watched.
	wait    time.Duration
	stopped bool
}

// recheck is the pause before the next look at an upstream that was found busy, or at a
// budget that was found spent.
const recheck = 200 * time.Millisecond

// watchSilence begins to watch a send for its first answer.
func (c *call) watchSilence(u *directory.Upstream, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{c: c, u: u, cancel: cancel}
	wait := time.Duration(c.g.settings.SilenceFactor * float64(c.route.Objective))
	last := c.ran+1 >= c.route.MaxAttempts
	if c.route.Retryable() && !last && wait > 0 && c.left()-wait >= c.route.Objective/2 {
		w.arm(wait)
	}
	return w
}

// rearm gives the upstream until the next event of a stream.
func (w *silenceWatch) rearm() {
	w.disarm()
	c := w.c
	if c.repeatableStream() && c.ran+1 < c.route.MaxAttempts && c.route.MaxGap > 0 {
		w.arm(time.Duration(c.g.settings.GapFactor * float64(c.route.MaxGap)))
	}
}

func (w *silenceWatch) arm(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wait = wait
	w.timer = time.AfterFunc(wait, w.look)
}

func (w *silenceWatch) disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// stop ends the watch for good.
func (w *silenceWatch) stop() {
	w.disarm()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}

// look decides when the time is over.
func (w *silenceWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.timer == nil {
		return
	}
	if w.u.ReceivedWithin(w.wait/silentPart, w.c.g.Clock.Now()) || !w.c.takeRepeat() {
		w.timer.Reset(recheck)
		return
	}
	w.c.repeatTaken.Store(true)
	w.cancel(errSilent)
}

// silentPart divides the wait into the silence towards all requests here that tells a dark
// upstream from a busy one.
const silentPart = 2

// takeRepeat takes the right to send the request once more; false if the budget is spent.
func (c *call) takeRepeat() bool {
	if c.repeatTaken.Swap(false) {
		return true
	}
	return c.g.repeats(c.service.Name).TryRetry(c.g.LiveNodes())
}
