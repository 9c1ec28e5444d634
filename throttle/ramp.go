package throttle

import (
	"math"
	"time"
)

const (
	// rampInitialShare is the part of the upstream's slots that all nodes together use at the start of a ramp: no queue forms
	// before the first answers, even at a quarter of the usual speed.
	rampInitialShare = 0.25
	// rampUnheardShare and rampHeardShare bound the growth by time alone, before this node's first answer and after a
	// good one. In a large fleet a node's own answers are seconds apart, and growth by answers alone leaves the upstream idle.
	rampUnheardShare = 0.5
	rampHeardShare   = 0.6
	// rampDoublingTime is the time in which the level doubles by time alone: about as long as an upstream is cold.
	rampDoublingTime = 3 * time.Second
	// rampMinShare is the least part of the slots, so that a node notices that the upstream has recovered.
	rampMinShare = 0.1
	// rampTargetShare is the part of the slots that growth by the load figures aims at, and maxRampStep the most by which
	// one answer multiplies the level: the figures don't cover yet what other nodes send because of the same figures.
	rampTargetShare = 0.9
	maxRampStep     = 2.0
	// minRampStep is the least by which a good answer multiplies the level, if the upstream is fuller than aimed at.
	minRampStep = 0.9
	// unknownLoadStep is by what a good answer without load figures multiplies the level: less than maxRampStep, since nothing
	// tells how much room is left.
	unknownLoadStep = 1.5
	// maxRampShare bounds the level of a ramp that still limits a node's requests.
	maxRampShare = 1.25
	// rampQueueFactor is what remains of the level after a slow answer or one that shows a short queue, rampRefusalFactor
	// after a refusal or one that shows a long queue.
	rampQueueFactor   = 0.8
	rampRefusalFactor = 0.5
	// unusedRoomTime is how long a node must have left its room unused for its ramp to limit nothing any more.
	unusedRoomTime = 500 * time.Millisecond
	// badAnswerTTL is how long a slow answer, or a refusal, keeps time alone from raising the level: in a large fleet the
	// next answer of this node may be long after the upstream recovered.
	badAnswerTTL = 2 * time.Second
	// shorterWeight is the weight of a request that took less than usual: the first ones of a cold upstream take long.
	shorterWeight = 0.5
	// usualDecayTime is the time constant with which the usual duration returns to that of the service while this node
	// gets no answers, for the same reason.
	usualDecayTime = 2 * time.Second
	// limitsWindow is how recently a ramp must have denied a request to be what limits the node's requests.
	limitsWindow = time.Second
	// rampTime bounds a ramp beyond the upstream's remaining warm-up, maxRampTime bounds both together: an upstream that is
	// still slow then is one that is slow for other reasons, which its load figures tell.
	rampTime    = 20 * time.Second
	maxRampTime = time.Minute
	// maxRampInterval bounds the time between two changes of the level where requests take long.
	maxRampInterval = 500 * time.Millisecond
	// slowWaitFactor times the service's usual time to first event is a slow answer, but nothing below minSlowWait
	// is: one round trip to another region, or one long prompt, takes as long.
	slowWaitFactor = 3
	minSlowWait    = 100 * time.Millisecond
)

// rampPhase is the state of a ramp.
type rampPhase int

const (
	rampOff rampPhase = iota
	// rampArmed: the upstream can't be reached; the ramp starts with its next answer.
	rampArmed
	rampOn
)

// RampStart holds what a node knows when it begins a ramp.
type RampStart struct {
	// Slots is how many requests the upstream runs at once, Part this node's part of what all nodes send.
	Slots int
	Part  Part
	// Warmup is how much longer the upstream stays slow.
	Warmup time.Duration
	// Usual is how long requests to the service take, UsualWait how long until their first event; zero if unknown.
	Usual, UsualWait time.Duration
}

// ramp limits the open requests of one node to an upstream that started or recovered. All nodes together may have level
// requests open, and each its share of them. The zero value limits nothing.
type ramp struct {
	phase     rampPhase
	slots     float64
	share     float64
	usualWait time.Duration
	warmup    time.Duration
	// usual is how long requests take, serviceUsual how long they take at other upstreams; measured is set once usual is
	// that of this upstream.
	usual, serviceUsual time.Duration
	measured            bool

	level                     float64
	begunAt, endsAt           time.Duration
	advancedAt, adjustedAt    time.Duration
	answered, good, recovered bool
	// credit counts turns to open a request beyond the whole number of the window.
	credit float64
	// heardAt is when an answer began or ended last.
	heardAt time.Duration
	// badAt is when an answer was last slow, showed a queue or was a refusal.
	badAt time.Duration
	// roomSince is since when the node has had room without interruption; negative if it has none. deniedAt is when the
	// ramp last denied a request that nothing else did; negative if it never has.
	roomSince, deniedAt time.Duration

	answers, refusals int
	report            RampReport
}

func (r *ramp) active() bool { return r.phase != rampOff }

// begin starts a ramp of an upstream that started. random, a number from 0 to 1, is when this node's first turn comes:
// nodes learn of the upstream together, but must not send together.
func (r *ramp) begin(s RampStart, now time.Duration, random float64) {
	r.end(RampReplaced, now)
	r.reset(s, now, random)
	r.start(now, false)
}

// arm makes a ramp start with the next answer of an upstream that can't be reached. Without another failure, the level grows
// as if the upstream had started, and nothing is limited any more after the same time.
func (r *ramp) arm(s RampStart, now time.Duration, random float64) {
	r.end(RampUnreachable, now)
	r.reset(s, now, random)
	r.phase, r.endsAt = rampArmed, now+rampTime
}

func (r *ramp) reset(s RampStart, now time.Duration, random float64) {
	usual := max(time.Millisecond, s.Usual)
	*r = ramp{slots: float64(max(1, s.Slots)), share: s.Part.Share, usual: usual, serviceUsual: usual, usualWait: s.UsualWait, warmup: s.Warmup,
		advancedAt: now, adjustedAt: now - maxRampInterval, credit: random, roomSince: -1, deniedAt: -1, report: r.report}
	r.level = rampInitialShare * r.slots
}

func (r *ramp) start(now time.Duration, recovered bool) {
	r.phase, r.begunAt, r.recovered = rampOn, now, recovered
	r.endsAt = now + min(maxRampTime, rampTime+r.warmup)
	r.report.Began, r.report.Recovered, r.report.Share = true, recovered, r.share
}

// end ends a ramp that has started.
func (r *ramp) end(why RampOutcome, now time.Duration) {
	if r.phase == rampOn {
		r.report.Outcome, r.report.Lasted, r.report.Level = why, now-r.begunAt, r.level
		r.report.Answers, r.report.Refusals = r.answers, r.refusals
	}
	r.phase = rampOff
}

// room returns the whole number of requests that may be open, and the share of the time in which one more may be.
func (r *ramp) room() (whole int, fraction float64) {
	window := r.share * r.level
	if r.phase == rampArmed {
		return 0, min(1, window)
	}
	floor := math.Floor(window)
	return int(floor), window - floor
}

// advance accounts for the time since the last call.
func (r *ramp) advance(now time.Duration) {
	if r.active() && now >= r.endsAt {
		r.end(RampTimeOver, now)
	}
	elapsed := now - r.advancedAt
	if !r.active() || elapsed <= 0 {
		return
	}
	r.advancedAt = now
	r.accrue(elapsed)
	if r.measured && now-r.heardAt > badAnswerTTL {
		r.usual += time.Duration((1 - math.Exp(-elapsed.Seconds()/usualDecayTime.Seconds())) * float64(r.serviceUsual-r.usual))
	}
	if ceiling := r.timeCeiling(now); r.level < ceiling {
		r.level = min(ceiling, r.level*math.Exp2(elapsed.Seconds()/rampDoublingTime.Seconds()))
	}
}

// timeCeiling returns up to which level time alone raises it.
func (r *ramp) timeCeiling(now time.Duration) float64 {
	switch {
	case !r.answered, !r.good && now-r.badAt > badAnswerTTL:
		return rampUnheardShare * r.slots
	case r.good && r.limits(now):
		return rampHeardShare * r.slots
	default:
		return 0
	}
}

// accrue adds the turns that came. One that no request took within defaultTurnLength is lost: otherwise the turns of all nodes
// would be taken at the same moment when a crowd comes.
func (r *ramp) accrue(elapsed time.Duration) {
	_, fraction := r.room()
	rate := fraction / r.usual.Seconds()
	r.credit += rate * elapsed.Seconds()
	keep := 1 + rate*defaultTurnLength.Seconds()
	switch {
	case keep >= 2:
		r.credit = min(r.credit, 1)
	case r.credit > keep:
		r.credit -= math.Ceil(r.credit - keep)
	}
}

func (r *ramp) allows(open int, now time.Duration) bool {
	r.advance(now)
	if !r.active() {
		return true
	}
	whole, _ := r.room()
	if open > whole || open == whole && r.credit < 1 {
		r.roomSince, r.deniedAt = -1, now
		return false
	}
	if r.roomSince < 0 {
		r.roomSince = now
	}
	if r.phase == rampOn && r.good && r.level >= r.slots && now-r.roomSince >= unusedRoomTime {
		r.end(RampComplete, now)
	}
	return true
}

// limits reports whether the ramp is what limited the node's requests lately. The level doesn't grow otherwise: while a
// cold upstream's rate limits them, it would become so high that the ramp limits nothing once the upstream is warm.
func (r *ramp) limits(now time.Duration) bool {
	return r.deniedAt >= 0 && now-r.deniedAt < max(limitsWindow, r.usual)
}

// deniedElsewhere records that something else denied a request.
func (r *ramp) deniedElsewhere() { r.roomSince = -1 }

// take records that a request is opened beside the given number of open ones; random is a number from 0 to 1.
func (r *ramp) take(open int, random float64) {
	if whole, _ := r.room(); r.active() && open >= whole {
		r.credit = max(-1, r.credit-0.5-random)
	}
}

// observe records the start of an answer.
func (r *ramp) observe(a Answer, now time.Duration) {
	r.advance(now)
	if r.phase == rampArmed {
		r.start(now, true)
	}
	if !r.active() {
		return
	}
	r.answers++
	r.heardAt = now
	r.answered, r.good = true, a.Load.Waiting == 0 && !r.isSlow(a)
	if !r.good {
		r.badAt = now
	}
	if !r.takeAdjustment(now) {
		return
	}
	if !r.good {
		fill := rampTargetShare * r.slots / max(1, float64(a.Load.Running+a.Load.Waiting))
		r.level = max(rampMinShare*r.slots, max(rampRefusalFactor, min(rampQueueFactor, fill))*min(r.level, r.slots))
		return
	}
	if !r.limits(now) {
		return
	}
	step := unknownLoadStep
	if a.HasLoad {
		step = min(maxRampStep, max(minRampStep, rampTargetShare*r.slots/max(1, float64(a.Load.Running))))
	}
	r.level = min(maxRampShare*r.slots, r.level*step)
}

// takeAdjustment reports whether the level may change now, and if so counts it as changed. Responses to requests that were
// under way together change it once.
func (r *ramp) takeAdjustment(now time.Duration) bool {
	if now-r.adjustedAt < min(maxRampInterval, max(minAdjustInterval, r.usual)) {
		return false
	}
	r.adjustedAt = now
	return true
}

func (r *ramp) isSlow(a Answer) bool {
	limit := a.Objective / 2
	if usual := max(minSlowWait, slowWaitFactor*r.usualWait); r.usualWait > 0 && (limit == 0 || usual < limit) {
		limit = usual
	}
	return limit > 0 && a.Wait > limit
}

// finish records how long a request took in all.
func (r *ramp) finish(took, now time.Duration) {
	r.advance(now)
	r.heardAt = now
	switch {
	case !r.active():
	case r.measured && took < r.usual:
		r.usual += time.Duration(shorterWeight * float64(took-r.usual))
	case r.measured:
		r.usual += time.Duration(durationWeight * float64(took-r.usual))
	default:
		r.usual, r.measured = max(time.Millisecond, took), true
	}
}

// refuse records that the upstream refused a request. Those that were under way with it count once.
func (r *ramp) refuse(now time.Duration) {
	r.advance(now)
	if r.phase != rampOn {
		return
	}
	r.refusals++
	r.answered, r.good, r.badAt = true, false, now
	if !r.takeAdjustment(now) {
		return
	}
	r.level = max(rampMinShare*r.slots, rampRefusalFactor*min(r.level, r.slots))
	r.credit = min(r.credit, 0)
}
