package score

import "time"

// Costs are the constants that a prediction needs. They need be right only in
// proportion: each upstream's own pace is learned.
type Costs struct {
	// PerPromptToken is the time to prefill one prompt token.
	PerPromptToken time.Duration
	// UncachedWeight is how much more than its own time an uncached prompt token counts:
	// its prefill also delays every request that runs there.
	UncachedWeight float64
	// PerRunningRequest is the time that each running request adds.
	PerRunningRequest time.Duration
	// Base is the time to a first token on an idle engine, without prefill.
	Base time.Duration
}

// DefaultCosts returns assumed costs of one engine.
func DefaultCosts() Costs {
	return Costs{PerPromptToken: 150 * time.Microsecond, UncachedWeight: 4, PerRunningRequest: 4 * time.Millisecond, Base: 25 * time.Millisecond}
}

// Upstream is the state of one upstream as far as a prediction looks at it.
type Upstream struct {
	// Requests in progress and Pending prompt tokens, both estimated.
	Requests float64
	Pending  float64
	Slots    float64
	// ServiceTime is the mean time of a request.
	ServiceTime time.Duration
	// Slowdown is how many times slower than its peers the upstream proved to be.
	Slowdown float64
}

// TimeToFirstToken predicts the time to the first token of a prompt of which uncached
// tokens must be prefilled.
func (c Costs) TimeToFirstToken(u Upstream, uncached float64) time.Duration {
	work := float64(c.Base) + (u.Pending+uncached)*float64(c.PerPromptToken) + u.Requests*float64(c.PerRunningRequest)
	wait := 0.0
	if over := u.Requests + 1 - u.Slots; over > 0 {
		wait = over / u.Slots * float64(u.ServiceTime)
	}
	return time.Duration(u.Slowdown*work + wait)
}

// Interference returns what taking the prompt costs others on the upstream.
func (c Costs) Interference(u Upstream, uncached float64) time.Duration {
	return time.Duration(c.UncachedWeight * u.Slowdown * uncached * float64(c.PerPromptToken))
}
