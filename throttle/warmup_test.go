package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	coldPerSecond = 10.0
	coldWindow    = time.Second
	coldBound     = coldPerSecond*1.5 + 5
	coldUntil     = 3 * time.Second
	coldStep      = time.Millisecond
)

// floodCold lets a number of nodes send to one cold upstream whenever they may, each with requests at all times, from
// the moments at which they learn that it is cold.
func floodCold(nodes int, random *rand.Rand) *limitedUpstream {
	u := &limitedUpstream{perSecond: coldPerSecond}
	limiters := make([]Limiter, nodes)
	for i := range limiters {
		learned := time.Duration(random.Float64() * float64(300*time.Millisecond))
		limiters[i].BeginWarmup(WarmupRate(coldPerSecond, coldBound), Part{1 / float64(nodes), nodes}, learned+coldUntil, learned, random.Float64())
	}
	for now := 300 * time.Millisecond; now < coldUntil; now += coldStep {
		for i := range limiters {
			if limiters[i].TryOpen(0, now, random.Float64()) {
				u.arrivals = append(u.arrivals, now)
			}
		}
	}
	return u
}

// Guards against an upstream that crashes while it is cold, since all nodes together send it more than it takes; and
// against leaving it idle.
func TestColdUpstreamGetsItsRate(t *testing.T) {
	for _, nodes := range []int{1, 7, 87, 300} {
		is, sent := is.New(t), 0
		const seeds = 50
		for seed := range uint64(seeds) {
			u := floodCold(nodes, rand.New(rand.NewPCG(seed, uint64(nodes))))
			is.True(float64(u.mostWithin(coldWindow, 0)) <= coldBound)
			sent += len(u.arrivals)
		}
		is.True(float64(sent)/seeds >= coldPerSecond*coldUntil.Seconds()/2)
	}
}

// Guards against a burst at a cold upstream after a calm in which no node had a request for it.
func TestColdUpstreamGetsNoBurstAfterCalm(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		const nodes = 87
		limiters := make([]Limiter, nodes)
		for i := range limiters {
			limiters[i].BeginWarmup(WarmupRate(coldPerSecond, coldBound), Part{1.0 / nodes, nodes}, 20*time.Second, 0, random.Float64())
		}
		u := &limitedUpstream{}
		for now := 10 * time.Second; now < 12*time.Second; now += coldStep {
			for i := range limiters {
				if limiters[i].TryOpen(0, now, random.Float64()) {
					u.arrivals = append(u.arrivals, now)
				}
			}
		}
		is.True(float64(u.mostWithin(coldWindow, 0)) <= coldBound)
	}
}

// Guards against holding requests back from an upstream that is warm.
func TestWarmUpstreamIsNotLimited(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.BeginWarmup(1, Part{0.01, 100}, coldUntil, 0, 1)
	is.True(!l.TryOpen(0, time.Second, 0))
	is.True(l.WarmingUp(time.Second))
	is.True(l.TryOpen(0, coldUntil, 0))
	is.True(!l.WarmingUp(coldUntil))
	_, _, limited := l.Limit(coldUntil)
	is.True(!limited)
}

// Guards against taking a limit that an upstream named for over when it is warm, and the other way round.
func TestNamedLimitHoldsBesideWarmup(t *testing.T) {
	is := is.New(t)
	var l Limiter
	l.NameLimit(1, Part{1, 1}, 0, 0)
	l.BeginWarmup(100, Part{1, 1}, coldUntil, 0, 0)
	perSecond, _, limited := l.Limit(time.Second)
	is.True(limited)
	is.Equal(perSecond, 1.0)
	is.True(l.ClearLimit(time.Second))
	perSecond, _, _ = l.Limit(time.Second)
	is.Equal(perSecond, 100.0)
}
