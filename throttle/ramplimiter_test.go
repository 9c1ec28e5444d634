package throttle

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var soleSender = RampStart{Slots: 8, Part: Part{Share: 1, Senders: 1}, Usual: 100 * time.Millisecond, UsualWait: 10 * time.Millisecond}

// answerAt records a request that had no room beside 1,000 others, and a good answer to another one.
func answerAt(l *Limiter, running int, now time.Duration) {
	l.Allows(1000, now)
	l.Observe(Answer{Load: Load{Running: running, Slots: 8}, HasLoad: true, Wait: 10 * time.Millisecond}, now)
}

// Guards against limiting upstreams of services without ramps.
func TestRampLimitsNothingUnlessBegun(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.Observe(Answer{Wait: time.Minute}, time.Second)
	l.Refused(time.Second)
	l.AdjustRamp(Part{}, time.Second)
	is.True(!l.RampEnabled())
	is.True(l.TryOpen(1000, time.Second, 0))
	_, news := l.TakeRampReport(time.Second)
	is.True(!news)
}

// Guards against a ramp that never ends, or ends unreported: once with the slots free for all, once by time alone.
func TestRampEnds(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.BeginRamp(soleSender, 0, 0)
	is.True(!l.Allows(2, 0)) // a quarter of the slots
	now := time.Duration(0)
	for range 6 {
		now += time.Second
		answerAt(&l, 2, now)
	}
	is.True(l.Allows(0, now))
	is.True(l.Allows(0, now+unusedRoomTime))
	is.True(l.Allows(1000, now+unusedRoomTime))
	report, news := l.TakeRampReport(now + time.Second)
	is.True(news && report.Began && !report.Recovered)
	is.Equal(report.Outcome, RampComplete)
	is.Equal(report.Answers, 6)
	_, news = l.TakeRampReport(now + time.Second)
	is.True(!news)

	l.BeginRamp(soleSender, 0, 0)
	is.True(!l.Allows(1000, rampTime-1))
	is.True(l.Allows(1000, rampTime))
	report, _ = l.TakeRampReport(rampTime)
	is.Equal(report.Outcome, RampTimeOver)
}

// Guards against ignoring refusals, queues and slow answers.
func TestRampShrinks(t *testing.T) {
	is := is.New(t)
	level := func(bad func(*Limiter, time.Duration)) float64 {
		var l Limiter
		l.BeginRamp(soleSender, 0, 0)
		answerAt(&l, 2, time.Second)
		before := l.ramp.level
		bad(&l, 2*time.Second)
		return l.ramp.level / before
	}
	is.True(level(func(l *Limiter, now time.Duration) { answerAt(l, 2, now) }) > 1)
	is.True(level(func(l *Limiter, now time.Duration) { l.Refused(now); l.Refused(now + 1) }) <= rampRefusalFactor*1.3)
	is.True(level(func(l *Limiter, now time.Duration) {
		l.Observe(Answer{Load: Load{Running: 8, Waiting: 1, Slots: 8}, HasLoad: true}, now)
	}) < 1)
	is.True(level(func(l *Limiter, now time.Duration) { l.Observe(Answer{Wait: minSlowWait + 1}, now) }) < 1)
	is.True(level(func(l *Limiter, now time.Duration) {
		l.Observe(Answer{Wait: minSlowWait, Objective: minSlowWait}, now)
	}) < 1)
}

// Guards against a ramp that has grown beyond use when a cold upstream's rate, which limited the requests, ends.
func TestRampDoesNotGrowWhileAnotherLimitHolds(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.BeginRamp(soleSender, 0, 0)
	l.NameLimit(1, Part{Share: 1, Senders: 1}, 0, 1)
	for now := time.Second / 10; now < 10*time.Second; now += time.Second / 10 {
		if l.TryOpen(0, now, 0.5) {
			l.Observe(Answer{Load: Load{Running: 1, Slots: 8}, HasLoad: true, Wait: time.Millisecond}, now)
		}
	}
	is.True(l.Ramping())
	is.True(l.ramp.level < rampUnheardShare*8) // it grew until the first answer
}

// Guards against a burst of all nodes once an upstream that couldn't be reached answers, and against probing it
// with more than one request at a time meanwhile.
func TestRampBeginsWithFirstAnswerAfterFailure(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.ArmRamp(soleSender, 0, 1)
	is.True(l.Allows(0, 0))
	is.True(!l.Allows(1, 0))
	_, news := l.TakeRampReport(0)
	is.True(!news)
	answerAt(&l, 0, time.Second)
	report, news := l.TakeRampReport(time.Second)
	is.True(news && report.Began && report.Recovered)
	is.True(l.Allows(1, time.Second))
	is.True(!l.Allows(1000, time.Second))
	l.ArmRamp(soleSender, 2*time.Second, 1)
	report, _ = l.TakeRampReport(2 * time.Second)
	is.Equal(report.Outcome, RampUnreachable)
	is.True(l.Allows(1000, 2*time.Second+rampTime)) // nobody asked for it since
}
