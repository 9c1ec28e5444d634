package health

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/qmuntal/stateless"
)

// State is the state of a circuit breaker.
type State string

// The states of a breaker.
const (
	// Closed lets all requests through.
	Closed State = "closed"
	// Open lets nothing through until its open period ends.
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
	// maxConsecutiveFailures is how many failures in a row open a breaker.
	maxConsecutiveFailures = 3
	// maxWindowFailures is how many failures among the latest 16 outcomes open it as well.
	maxWindowFailures = 8
	// probesToClose is how many successful probes in a row close it.
	probesToClose   = 2
	minOpenDuration = 2 * time.Second
	maxOpenDuration = time.Minute
	// backoffResetAfter is how long a breaker must stay closed before its next open period
	// starts again from minOpenDuration. Otherwise a breaker would flap every few seconds on
	// an engine that fails intermittently, and callers would see failures each time.
	backoffResetAfter = 2 * time.Minute
)

// Breaker is a circuit breaker that keeps requests from a failing upstream. IsClosed and
// MayProbe are lock-free; the other methods are called at most a few times per request. It is
// safe for concurrent use.
type Breaker struct {
	// closed mirrors the state machine, so that a pick needs only one atomic load.
	closed        atomic.Bool
	openUntil     atomic.Int64
	probeInFlight atomic.Bool

	mu             sync.Mutex
	machine        *stateless.StateMachine
	random         func() uint64
	onChange       func(State)
	failures       int
	outcomes       uint16
	probeSuccesses int
	openDuration   time.Duration
	closedAt       time.Time
}

// NewBreaker returns a closed breaker. random provides the jitter that spreads the probes of
// several nodes; onChange, when set, is called with each new state.
func NewBreaker(random func() uint64, onChange func(State)) *Breaker {
	b := &Breaker{random: random, onChange: onChange}
	b.closed.Store(true)
	b.machine = stateless.NewStateMachine(Closed)
	b.machine.Configure(Closed).Permit(triggerTrip, Open).Ignore(triggerProbe).Ignore(triggerRecover)
	b.machine.Configure(Open).Permit(triggerProbe, HalfOpen).Ignore(triggerTrip).Ignore(triggerRecover)
	b.machine.Configure(HalfOpen).Permit(triggerTrip, Open).Permit(triggerRecover, Closed).Ignore(triggerProbe)
	return b
}

// State returns the breaker's current state.
func (b *Breaker) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.MustState().(State)
}

// IsClosed reports whether the breaker is closed.
func (b *Breaker) IsClosed() bool { return b.closed.Load() }

// MayProbe reports whether the open period is over and no probe is in flight.
func (b *Breaker) MayProbe(now time.Time) bool {
	return !b.closed.Load() && !b.probeInFlight.Load() && now.UnixNano() >= b.openUntil.Load()
}

// BeginProbe claims the only probe; it returns false if another request has claimed it.
func (b *Breaker) BeginProbe() bool {
	if !b.probeInFlight.CompareAndSwap(false, true) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fire(triggerProbe)
	return true
}

// AbandonProbe releases the probe without an outcome, for example when its caller left.
func (b *Breaker) AbandonProbe() { b.probeInFlight.Store(false) }

// RecordSuccess records a success. Only probes count while the breaker isn't closed: a request
// sent before the breaker opened doesn't show that the upstream recovered.
func (b *Breaker) RecordSuccess(now time.Time, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.machine.MustState() == Closed {
		b.failures = 0
		b.outcomes <<= 1
		return
	}
	if !probe {
		return
	}
	b.probeInFlight.Store(false)
	b.probeSuccesses++
	if b.probeSuccesses < probesToClose {
		return
	}
	b.outcomes, b.failures, b.closedAt = 0, 0, now
	b.fire(triggerRecover)
	b.closed.Store(true)
}

// RecordFailure records a failure. A critical one, such as the answer to another request,
// opens the breaker immediately.
func (b *Breaker) RecordFailure(now time.Time, probe, critical bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.machine.MustState() != Closed {
		if probe {
			b.trip(now)
		}
		return
	}
	b.failures++
	b.outcomes = b.outcomes<<1 | 1
	if critical || b.failures >= maxConsecutiveFailures || bits.OnesCount16(b.outcomes) >= maxWindowFailures {
		b.trip(now)
	}
}

func (b *Breaker) trip(now time.Time) {
	switch {
	case b.openDuration == 0 || (b.machine.MustState() == Closed && now.Sub(b.closedAt) > backoffResetAfter):
		b.openDuration = minOpenDuration
	default:
		b.openDuration = min(2*b.openDuration, maxOpenDuration)
	}
	b.probeSuccesses, b.failures = 0, 0
	// Jitter of up to half the period, or all nodes would probe at the same moment.
	jitter := time.Duration(b.random() % uint64(b.openDuration/2))
	b.openUntil.Store(now.Add(b.openDuration + jitter).UnixNano())
	b.closed.Store(false)
	b.probeInFlight.Store(false)
	b.fire(triggerTrip)
}

// fire applies a trigger to the state machine. Every trigger is permitted or ignored in
// every state, so it can't fail.
func (b *Breaker) fire(t trigger) {
	before := b.machine.MustState()
	_ = b.machine.Fire(t)
	after := b.machine.MustState()
	if b.onChange != nil && before != after {
		b.onChange(after.(State))
	}
}
