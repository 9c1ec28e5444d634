package linkload

import (
	"math"
	"sync"
	"time"
)

// Request is what the headers of a request tell.
type Request struct {
	Route, Account string
	// BodyBytes is the length of the body; negative if it isn't known. UnaskedBytes bounds how much of it crosses the link
	// although the request is refused.
	BodyBytes, UnaskedBytes int64
	// MaxOutput is the number of output tokens that the request allows; zero if not given.
	MaxOutput int64
}

// Link is the measured state of an instance's link.
type Link struct {
	// Delay is how long messages wait on it.
	Delay time.Duration
	// Use is the part of its speed that is used, in the busier direction.
	Use float64
	// Speed is its speed in bytes per second, in each direction; zero if it isn't known, which admits everything.
	Speed float64
}

// Decision is the result of Admission.Decide.
type Decision struct {
	Admitted bool
	// Fair is set if the request was admitted for the minimum share of its size, route or account.
	Fair bool
	// Crowded is whether the link is crowded; otherwise everything is admitted.
	Crowded bool
	// Saved is the number of bytes that a refusal keeps off the link.
	Saved int64
}

// Admission decides which requests are admitted while the link is crowded. It is safe for concurrent use.
type Admission struct {
	settings Settings

	mu     sync.Mutex
	sizes  responseSizes
	demand demands
	// fairBytes are those admitted for minimum shares.
	fairBytes rate
	fairness  fairness
	// scale multiplies the capacity; it falls while the delay persists.
	scale     float64
	steppedAt time.Duration
	crowded   bool
	// busyAt is when delay, use or demand last kept the link crowded.
	busyAt time.Duration
}

// NewAdmission returns an Admission.
func NewAdmission(s Settings) *Admission {
	return &Admission{settings: s, sizes: make(responseSizes), scale: 1, fairness: fairness{groups: make(map[group]*groupState)}}
}

// ObserveResponse records the size of a complete response.
func (a *Admission) ObserveResponse(route string, maxOutput, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sizes.observe(route, maxOutput, bytes)
}

// Crowded reports whether the link is crowded.
func (a *Admission) Crowded(now time.Duration, l Link) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.update(now, l)
	return a.crowded
}

// Decide decides on a request; random is a number from 0 to 1.
func (a *Admission) Decide(now time.Duration, l Link, r Request, random float64) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	// What counts is the direction to the node, by which requests, also refused ones, and the upstreams' responses come. The
	// other one carries the bodies to the upstreams and the responses to callers, but nothing of what is refused.
	body := r.BodyBytes
	if body < 0 {
		body = unknownBodyBytes
	}
	unasked := min(body, r.UnaskedBytes)
	spent, saved := float64(overheadBytes+unasked), float64(body-unasked)+a.sizes.expected(r.Route, r.MaxOutput)
	class := classOf(saved)
	a.demand.add(now, class, spent, saved)
	a.update(now, l)
	d := Decision{Admitted: true, Crowded: a.crowded, Saved: int64(min(saved, math.MaxInt32))}
	if !a.crowded {
		return d
	}
	groups := [...]group{{kind: bySize, class: class}, {kind: byRoute, name: r.Route}, {kind: byAccount, name: r.Account}, {kind: byAccountAndSize, name: r.Account, class: class}}
	owed := a.fairness.ask(now, &a.settings, groups[:])
	d.Admitted = random < a.demand.share(now, class, a.capacity(l)-a.fairBytes.perSecond(now))
	if !d.Admitted && a.mayAdmitFair(now, l, owed) {
		d.Admitted, d.Fair = true, true
		a.fairBytes.add(now, saved)
	}
	a.fairness.decided(now, groups[:], d.Admitted)
	return d
}

// capacity returns how many bytes per second requests may use. The caller holds mu.
func (a *Admission) capacity(l Link) float64 { return l.Speed * a.settings.TargetUse * a.scale }

// shareDebtPart is the part of FairPart that groups short of their minimum share may use. The rest is left to those denied for
// too long.
const shareDebtPart = 0.75

// mayAdmitFair reports whether a request may be admitted for what its groups are owed. The caller holds mu.
func (a *Admission) mayAdmitFair(now time.Duration, l Link, owed debt) bool {
	part := a.capacity(l) * a.settings.FairPart
	switch owed {
	case timeDebt:
		return a.fairBytes.perSecond(now) < part
	case shareDebt:
		return a.fairBytes.perSecond(now) < shareDebtPart*part
	default:
		return false
	}
}

const (
	// stepInterval is the time between two adjustments of the scale: exchanges between nodes measure the delay as often.
	stepInterval = 100 * time.Millisecond
	// slowDown and speedUp adjust the scale: it falls quickly while a queue grows and rises slowly, so that the queue stays short.
	slowDown = 0.95
	speedUp  = 0.01
)

// update follows the link's state. The caller holds mu.
func (a *Admission) update(now time.Duration, l Link) {
	s := &a.settings
	if l.Speed <= 0 {
		a.crowded = false
		return
	}
	isLate := l.Delay >= s.BeginDelay/2
	if now-a.steppedAt >= stepInterval {
		a.steppedAt = now
		if isLate {
			a.scale = max(s.MinScale, a.scale*slowDown)
		} else {
			a.scale = min(1, a.scale+speedUp)
		}
	}
	if l.Delay >= s.BeginDelay && l.Use >= s.BeginUse || l.Use >= s.FullUse {
		a.crowded, a.busyAt = true, now
	}
	switch {
	case !a.crowded:
	case isLate || a.demand.total(now) > a.capacity(l):
		a.busyAt = now
	case now-a.busyAt >= s.Calm:
		a.crowded = false
	}
}
