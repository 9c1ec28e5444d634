package score

import "time"

// Costs are the constants of a prediction. Only their ratios need to be right: each
// upstream's slowdown is measured.
type Costs struct {
	// PerPromptToken is the time to prefill one prompt token.
	PerPromptToken time.Duration
	// UncachedWeight is the extra cost of an uncached prompt token, as a multiple of its
	// prefill time: the prefill also delays every request running on the engine.
	UncachedWeight float64
	// PerRunningRequest is the time that each request in progress adds.
	PerRunningRequest time.Duration
	// Base is the time to first token on an idle engine, without prefill.
	Base time.Duration
}

// DefaultCosts returns assumed costs of one engine.
func DefaultCosts() Costs {
	return Costs{PerPromptToken: 150 * time.Microsecond, UncachedWeight: 4, PerRunningRequest: 4 * time.Millisecond, Base: 25 * time.Millisecond}
}

// Upstream is the part of an upstream's state that a prediction uses.
type Upstream struct {
	// Requests in progress and Pending prompt tokens are both estimates.
	Requests float64
	Pending  float64
	Slots    float64
	// ServiceTime is the mean duration of a request.
	ServiceTime time.Duration
	// Slowdown is how many times slower than predicted the upstream was measured to be.
	Slowdown float64
}

// TimeToFirstToken predicts the time to first token of a prompt of which uncached tokens
// have to be prefilled.
func (c Costs) TimeToFirstToken(u Upstream, uncached float64) time.Duration {
	work := float64(c.Base) + (u.Pending+uncached)*float64(c.PerPromptToken) + u.Requests*float64(c.PerRunningRequest)
	wait := 0.0
	if over := u.Requests + 1 - u.Slots; over > 0 {
		wait = over / u.Slots * float64(u.ServiceTime)
	}
	return time.Duration(u.Slowdown*work + wait)
}

// Interference returns the cost of the prompt's prefill to other requests on the upstream.
func (c Costs) Interference(u Upstream, uncached float64) time.Duration {
	return time.Duration(c.UncachedWeight * u.Slowdown * uncached * float64(c.PerPromptToken))
}
