package shedding

import (
	"math"
	"slices"
	"time"
)

// Policy controls when and how aggressively prompts are rejected.
type Policy struct {
	// Threshold is the fraction of a route's objective above which the median wait causes
	// rejections. It is below 1 because a queue shows in the waits only after a delay, and by
	// then it has grown further.
	Threshold float64
	// Exponent is the power with which the admitted share falls as the median wait grows.
	Exponent float64
	// MinRetryDelay and RetryJitter bound the retry delay of rejected callers: at least
	// MinRetryDelay, and up to RetryJitter longer, so that they don't cause the next overload.
	MinRetryDelay, RetryJitter time.Duration
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{Threshold: 0.5, Exponent: 3, MinRetryDelay: 500 * time.Millisecond, RetryJitter: time.Second}
}

// Admit reports whether to admit a prompt with the given objective, where wait is the result
// of MedianWait and random is a number from 0 to 1.
func (p Policy) Admit(wait, objective time.Duration, random float64) bool {
	limit := p.Threshold * float64(objective)
	if limit <= 0 || float64(wait) <= limit {
		return true
	}
	return random <= math.Pow(limit/float64(wait), p.Exponent)
}

// RetryAfter returns the retry delay of a rejected caller; random is a number from 0 to 1.
func (p Policy) RetryAfter(random float64) time.Duration {
	return p.MinRetryDelay + time.Duration(random*float64(p.RetryJitter))
}

// MedianWait returns the upper median of the waits at a service's upstreams, or 0 if there are
// none. A single slow upstream is left to placement, which chooses another. Only when half of
// them are slow is there no alternative.
func MedianWait(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[len(sorted)/2]
}
