package atmostonce

import (
	"sync/atomic"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// maxAttempts is how often a caller sends a call at most, maxOutageAttempts the same
	// while the log is unreachable.
	maxAttempts       = 30
	maxOutageAttempts = 2
	// retryDelay is the time between two attempts.
	retryDelay = 50 * time.Millisecond
)

// callOutcome is the outcome of a call as its caller knows it.
type callOutcome int

const (
	outcomeAnswered callOutcome = iota
	outcomeNotRun
	outcomeUnknown
)

// caller sends one call under one strategy.
type caller struct {
	fleet    *fleet
	strategy Strategy
	name     string
	// ticket is that of the first attempt that got one. The handler of a node that dies may run on beside the
	// next attempt's.
	ticket atomic.Pointer[fleetv1.CallTicket]
	// attempts is how often the call was sent, attemptLimit the maximum.
	attempts, attemptLimit int
}

// run sends the call until its outcome is final.
func (c *caller) run() callOutcome {
	maybeRan := false
	for c.attempts < c.attemptLimit {
		c.attempts++
		_, err := c.send(c.fleet.randomNode())
		switch {
		case err == nil:
			return outcomeAnswered
		case err == errConnectionLost && c.strategy == StrategySendOnce:
			return outcomeUnknown
		case err != errConnectionLost && result.From(err).NotRun() && c.attempts == c.attemptLimit:
			return outcomeNotRun
		case err != errConnectionLost && !result.CodeOf(err).Info().Retry:
			return outcomeUnknown
		}
		maybeRan = maybeRan || err == errConnectionLost || !result.From(err).NotRun()
		time.Sleep(retryDelay)
	}
	if maybeRan {
		return outcomeUnknown
	}
	return outcomeNotRun
}

func (c *caller) send(n *node) (idempotency.Response, error) {
	return n.serve(func() (idempotency.Response, error) {
		switch c.strategy {
		case StrategyKey:
			return n.runWithKey(c.name)
		case StrategyTicket:
			if c.ticket.Load() == nil {
				c.ticket.CompareAndSwap(nil, n.runner.NewTicket("account", n.name))
			}
			return n.runWithTicket(c.ticket.Load(), c.name)
		}
		return n.runFunc(c.name)(n.ctx)
	})
}
