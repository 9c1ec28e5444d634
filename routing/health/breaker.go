package health

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/qmuntal/stateless"
)

// State is where a breaker stands.
type State string

// The states of a breaker.
const (
	// Closed lets everything through.
	Closed State = "closed"
	// Open lets nothing through until its pause is over.
	Open State = "open"
	// HalfOpen lets one probe through at a time.
	HalfOpen State = "half-open"
)

type trigger string

const (
	triggerTrip    trigger = "trip"
	triggerProbe   trigger = "probe"
	triggerRecover trigger = "recover"
)

const (
	// tripAfter failures in a row open a breaker.
	tripAfter = 3
	// tripFailures among the latest 16 answers open a breaker as well.
	tripFailures = 8
	// recoverAfter probes in a row close it.
	recoverAfter = 2
	firstPause   = 2 * time.Second
	longestPause = time.Minute
	// calmAfter is how long a closed breaker must hold before its next pause starts
	// again from firstPause. Without it an engine that fails now and then would be let
	// in and out every few seconds, and callers would notice each time.
	calmAfter = 2 * time.Minute
)

// Breaker keeps requests from an upstream that fails. Admits is lock-free; the rest
// is rare. It is safe for concurrent use.
type Breaker struct {
	// passing is set while closed, so that a pick needs one atomic load.
	passing atomic.Bool
	until   atomic.Int64
	probing atomic.Bool

	mu       sync.Mutex
	machine  *stateless.StateMachine
	random   func() uint64
	changed  func(State)
	failures int
	window   uint16
	good     int
	pause    time.Duration
	closedAt time.Time
}

// NewBreaker returns a closed breaker. random spreads the pauses of several nodes;
// changed, when set, is told of each new state.
func NewBreaker(random func() uint64, changed func(State)) *Breaker {
	b := &Breaker{random: random, changed: changed}
	b.passing.Store(true)
	b.machine = stateless.NewStateMachine(Closed)
	b.machine.Configure(Closed).Permit(triggerTrip, Open).Ignore(triggerProbe).Ignore(triggerRecover)
	b.machine.Configure(Open).Permit(triggerProbe, HalfOpen).Ignore(triggerTrip).Ignore(triggerRecover)
	b.machine.Configure(HalfOpen).Permit(triggerTrip, Open).Permit(triggerRecover, Closed).Ignore(triggerProbe)
	return b
}

// State returns where the breaker stands.
func (b *Breaker) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.MustState().(State)
}

// IsClosed tells whether the breaker is closed.
func (b *Breaker) IsClosed() bool { return b.passing.Load() }

// MayProbe tells whether an open breaker's pause is over and no probe is out.
func (b *Breaker) MayProbe(now time.Time) bool {
	return !b.passing.Load() && !b.probing.Load() && now.UnixNano() >= b.until.Load()
}

// BeginProbe claims the one probe; false if another request was faster.
func (b *Breaker) BeginProbe() bool {
	if !b.probing.CompareAndSwap(false, true) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fire(triggerProbe)
	return true
}

// AbandonProbe frees the probe without a verdict, as when its caller left.
func (b *Breaker) AbandonProbe() { b.probing.Store(false) }

// RecordSuccess notes a good answer. Only probes count while the breaker isn't closed:
// a request sent before the trouble proves nothing.
func (b *Breaker) RecordSuccess(now time.Time, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.machine.MustState() == Closed {
		b.failures = 0
		b.window <<= 1
		return
	}
	if !probe {
		return
	}
	b.probing.Store(false)
	b.good++
	if b.good < recoverAfter {
		return
	}
	b.window, b.failures, b.closedAt = 0, 0, now
	b.fire(triggerRecover)
	b.passing.Store(true)
}

// RecordFailure notes a failure. A grave one, such as another request's answer, opens the
// breaker at once.
func (b *Breaker) RecordFailure(now time.Time, probe, grave bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.machine.MustState() != Closed {
		if probe {
			b.trip(now)
		}
		return
	}
	b.failures++
	b.window = b.window<<1 | 1
	if grave || b.failures >= tripAfter || bits.OnesCount16(b.window) >= tripFailures {
		b.trip(now)
	}
}

func (b *Breaker) trip(now time.Time) {
	switch {
	case b.pause == 0 || (b.machine.MustState() == Closed && now.Sub(b.closedAt) > calmAfter):
		b.pause = firstPause
	default:
		b.pause = min(2*b.pause, longestPause)
	}
	b.good, b.failures = 0, 0
	// Up to half as much again, or all nodes would probe at the same moment.
	jitter := time.Duration(b.random() % uint64(b.pause/2))
	b.until.Store(now.Add(b.pause + jitter).UnixNano())
	b.passing.Store(false)
	b.probing.Store(false)
	b.fire(triggerTrip)
}

// fire moves the state machine. Every trigger is permitted or ignored in every
// state, so it can't fail.
func (b *Breaker) fire(t trigger) {
	before := b.machine.MustState()
	_ = b.machine.Fire(t)
	after := b.machine.MustState()
	if b.changed != nil && before != after {
		b.changed(after.(State))
	}
}
