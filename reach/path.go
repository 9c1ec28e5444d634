package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

// failuresToRelay is the number of direct attempts in a row that must time out before a path is
// taken for cut: a single lost packet makes one time out.
const failuresToRelay = 2

// path is the state of the way to one upstream. The atomic fields are read and written for each
// request; mu guards the others.
type path struct {
	address string

	mode atomic.Int32
	// epoch counts the changes after which connections that were opened before are not used for new
	// requests.
	epoch atomic.Int64
	// usedAt is when a connection was last asked for or used; receivedAt is when data last came
	// over a direct connection.
	usedAt, receivedAt atomic.Int64
	// waiting counts the direct connections on which data is awaited, since waitingSince.
	waiting, waitingSince atomic.Int64

	mu        sync.Mutex
	cause     Cause
	changedAt time.Duration
	testedAt  time.Duration
	testing   bool
	// timeouts counts the direct attempts in a row that timed out.
	timeouts int
	// openFailedAt is when a connection for another node last failed.
	openFailedAt time.Duration
	// While the upstream is unreachable, an attempt is made at retryAt, and the next one after
	// retryDelay.
	retryAt, retryDelay time.Duration
}

func (p *path) currentMode() Mode { return Mode(p.mode.Load()) }

// silence returns how long data has been awaited from the upstream without any.
func (p *path) silence(now time.Duration) time.Duration {
	if p.waiting.Load() == 0 {
		return 0
	}
	return max(0, now-time.Duration(max(p.receivedAt.Load(), p.waitingSince.Load())))
}

// beginWait records that data is awaited on a direct connection.
func (p *path) beginWait(now time.Duration) {
	if p.waiting.Add(1) == 1 {
		p.waitingSince.Store(int64(now))
	}
}

func (p *path) endWait() { p.waiting.Add(-1) }

// received records data on a direct connection and reports whether it shows that the path is back.
// While new connections are refused, data on open ones doesn't show that.
func (p *path) received(now time.Duration) (restored bool) {
	p.receivedAt.Store(int64(now))
	if p.currentMode() == Direct {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cause == CauseTimeout && p.setLocked(Direct, "", now)
}

// set changes the mode; it returns false if nothing changed.
func (p *path) set(mode Mode, cause Cause, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.setLocked(mode, cause, now)
}

func (p *path) setLocked(mode Mode, cause Cause, now time.Duration) bool {
	if p.currentMode() == mode {
		return false
	}
	p.mode.Store(int32(mode))
	p.epoch.Add(1)
	p.cause, p.changedAt, p.testedAt, p.timeouts = cause, now, now, 0
	p.retryDelay = 0
	return true
}

// changedWithin reports whether the mode changed in the window.
func (p *path) changedWithin(window, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now-p.changedAt < window
}

// recordDirect records that a direct attempt succeeded.
func (p *path) recordDirect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts = 0
}

// recordTimeout records that a direct attempt timed out and reports whether that is enough to take
// the path for cut.
func (p *path) recordTimeout() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts++
	return p.timeouts >= failuresToRelay
}

// mayAttempt reports whether an attempt to reach an unreachable upstream is due, and postpones the
// next one.
func (p *path) mayAttempt(now time.Duration, s *Settings) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.retryAt {
		return false
	}
	p.retryDelay = min(max(2*p.retryDelay, s.MinUnreachable), s.MaxUnreachable)
	p.retryAt = now + p.retryDelay
	return true
}

// recordOpenFailure records that a connection for another node failed.
func (p *path) recordOpenFailure(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openFailedAt = now
}

// openFailedWithin reports whether a connection for another node failed in the window.
func (p *path) openFailedWithin(window, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openFailedAt != 0 && now-p.openFailedAt < window
}

// beginTest claims a test of the path if the last one is long enough ago and take allows it.
func (p *path) beginTest(now, interval time.Duration, take func() bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.testing || now-p.testedAt < interval || !take() {
		return false
	}
	p.testing, p.testedAt = true, now
	return true
}

func (p *path) endTest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.testing = false
}
