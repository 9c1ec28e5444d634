package shedding

import (
	"math"
	"slices"
	"time"
)

// Policy is when and how strongly prompts are refused.
type Policy struct {
	// Threshold of a route's objective is the usual wait from which on prompts are refused. A
	// queue takes some time to show in waits, and by then it has grown on.
	Threshold float64
	// Exponent is the power with which the part that is let in falls as waits grow.
	Exponent float64
	// MinRetryDelay and RetryJitter are when refused callers may return: MinRetryDelay after the refusal, and
	// up to RetryJitter later, so that they don't come back as the next crowd.
	MinRetryDelay, RetryJitter time.Duration
}

// DefaultPolicy returns the policy described at each field.
func DefaultPolicy() Policy {
	return Policy{Threshold: 0.5, Exponent: 3, MinRetryDelay: 500 * time.Millisecond, RetryJitter: time.Second}
}

// Admit tells whether a prompt with an objective is let in while upstreams usually make
// requests wait for so long; draw is a random number from zero to one.
func (p Policy) Admit(usual, objective time.Duration, draw float64) bool {
	limit := p.Threshold * float64(objective)
	if limit <= 0 || float64(usual) <= limit {
		return true
	}
	return draw <= math.Pow(limit/float64(usual), p.Exponent)
}

// RetryAfter is when a refused caller may come back; draw is a random number from zero to one.
func (p Policy) RetryAfter(draw float64) time.Duration {
	return p.MinRetryDelay + time.Duration(draw*float64(p.RetryJitter))
}

// MedianWait returns the wait that counts, the upper median of what the service's upstreams make
// requests wait; zero if there are none. One late upstream is left to placement, which finds
// another. Only when half of them are late is there nowhere to go.
func MedianWait(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	return sorted[len(sorted)/2]
}
