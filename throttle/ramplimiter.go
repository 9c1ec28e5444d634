package throttle

import (
	"sync/atomic"
	"time"
)

// rampSwitch tells whether an upstream is ramped up, and what is usual for it.
type rampSwitch struct {
	configured, reported atomic.Bool
	// begun is set while a ramp is in force or armed, pending while one is to be reported or could end by time.
	begun, pending atomic.Bool
	// usual and usualWait are how long requests take in all, and until their first event, in nanoseconds.
	usual, usualWait atomic.Int64
}

// Answer is the start of an answer.
type Answer struct {
	// Load is what the answer said of the load of the upstream, valid if HasLoad.
	Load    Load
	HasLoad bool
	// Wait is the time from sending the request to the first event, Objective the one at which the route aims;
	// zero if it has none.
	Wait, Objective time.Duration
}

// SetRampConfigured sets whether the configuration enables ramps for the upstream's service.
func (l *Limiter) SetRampConfigured(on bool) { setFlag(&l.ramping.configured, on) }

// SetRampReported sets whether the upstream reports a load figure that enables ramps.
func (l *Limiter) SetRampReported(on bool) { setFlag(&l.ramping.reported, on) }

// setFlag writes the flag only if it changes: responses set it, and a write moves its cache line between processors.
func setFlag(flag *atomic.Bool, on bool) {
	if flag.Load() != on {
		flag.Store(on)
	}
}

// RampEnabled reports whether a ramp begins once the upstream restarts or recovers.
func (l *Limiter) RampEnabled() bool {
	return l.ramping.configured.Load() || l.ramping.reported.Load() || l.ramping.begun.Load()
}

// Ramping reports whether a ramp is in force, or will be once the upstream answers.
func (l *Limiter) Ramping() bool { return l.ramping.begun.Load() }

// AllowsBeyondRamp is like Allows for a request that no other upstream can take.
func (l *Limiter) AllowsBeyondRamp(open int, now time.Duration) bool {
	if !l.allowsUnheard(open) {
		return false
	}
	if !l.lock() {
		return true
	}
	defer l.unlock()
	return l.allows(open, now)
}

// OpenBeyondRamp is like TryOpen for a request that no other upstream can take.
func (l *Limiter) OpenBeyondRamp(open int, now time.Duration, random float64) bool {
	return l.tryOpen(open, now, random, true)
}

// lockRamp locks the limiter if a ramp is in force or to be reported; the result is false otherwise.
func (l *Limiter) lockRamp() bool {
	if !l.ramping.pending.Load() {
		return false
	}
	l.mu.Lock()
	return true
}

// BeginRamp begins the ramp of an upstream that started; random is a number from 0 to 1.
func (l *Limiter) BeginRamp(s RampStart, now time.Duration, random float64) {
	l.mu.Lock()
	defer l.unlock()
	l.ramp.begin(s, now, random)
	l.ramping.pending.Store(true)
}

// ArmRamp makes a ramp begin with the next answer of an upstream that can't be reached; random is a number from 0 to 1.
func (l *Limiter) ArmRamp(s RampStart, now time.Duration, random float64) {
	l.mu.Lock()
	defer l.unlock()
	l.ramp.arm(s, now, random)
	l.ramping.pending.Store(true)
}

// AdjustRamp sets this node's part of what all nodes send, if a ramp is in force.
func (l *Limiter) AdjustRamp(part Part, now time.Duration) {
	if l.lockRamp() {
		defer l.unlock()
		l.ramp.advance(now)
		l.ramp.share = part.Share
	}
}

// Observe records the start of an answer, which ran the request.
func (l *Limiter) Observe(a Answer, now time.Duration) {
	if !l.RampEnabled() {
		return
	}
	updateUsual(&l.ramping.usualWait, a.Wait)
	if l.lockRamp() {
		defer l.unlock()
		l.ramp.observe(a, now)
	}
}

// Refused records that the upstream refused a request.
func (l *Limiter) Refused(now time.Duration) {
	if l.lockRamp() {
		defer l.unlock()
		l.ramp.refuse(now)
	}
}

// finishRamp records how long a request took in all.
func (l *Limiter) finishRamp(took, now time.Duration) {
	if !l.RampEnabled() {
		return
	}
	updateUsual(&l.ramping.usual, took)
	if l.lockRamp() {
		defer l.unlock()
		l.ramp.finish(took, now)
	}
}

// updateUsual updates a mean. A sample that another one overtakes is lost, which doesn't matter.
func updateUsual(usual *atomic.Int64, sample time.Duration) {
	before := usual.Load()
	if before == 0 {
		before = int64(sample)
	}
	usual.Store(before + int64(durationWeight*float64(int64(sample)-before)))
}

// Usual returns how long requests to the upstream take in all, and until their first event; zero if unknown.
func (l *Limiter) Usual() (took, wait time.Duration) {
	return time.Duration(l.ramping.usual.Load()), time.Duration(l.ramping.usualWait.Load())
}

// TakeRampReport returns what there is to report of ramps since the last call; false if nothing.
func (l *Limiter) TakeRampReport(now time.Duration) (RampReport, bool) {
	if !l.lockRamp() {
		return RampReport{}, false
	}
	defer l.unlock()
	l.ramp.advance(now)
	report := l.ramp.report
	l.ramp.report = RampReport{}
	l.ramping.pending.Store(l.ramp.active())
	return report, report.Began || report.Outcome != ""
}
