package request

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lavenderpin.dev/lavenderpin/event"
)

const (
	// Every request earns a tenth of a retry, so that retries add at most a tenth to
	// the load that a node puts on upstreams. Without a bound, a slow service gets
	// several times its load just when it can't bear it.
	retryCost   = 10
	retryIncome = 1
	// retryBurst is how many retries a quiet node may do at once.
	retryBurst = 10
	// firstPause and longestPause bound the wait before a retry, which is drawn
	// evenly between zero and twice the interval (full jitter).
	firstPause   = 25 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// retryBudget bounds a node's retries in proportion to its requests. The zero value
// is full.
type retryBudget struct {
	spent atomic.Int64
}

// earn is told of each request.
func (b *retryBudget) earn() {
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(0, spent-retryIncome)) {
			return
		}
	}
}

// take spends one retry; false when none is left.
func (b *retryBudget) take() bool {
	for {
		spent := b.spent.Load()
		if spent+retryCost > retryBurst*retryCost {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+retryCost) {
			return true
		}
	}
}

func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.RandomizationFactor = 1
	pause.Multiplier = 2
	pause.MaxInterval = longestPause
	return pause
}

// mayRetry takes a retry out of the node's budget and waits before it; false when
// the request isn't to be sent again.
func (s *Server) mayRetry(ctx context.Context, request string, pause *backoff.ExponentialBackOff) bool {
	if ctx.Err() != nil {
		return false
	}
	if !s.retries.take() {
		s.Events.Record(event.RetryDenied, "request", request)
		return false
	}
	s.Events.Record(event.AttemptRetried, "request", request)
	return s.sleep(ctx, pause.NextBackOff())
}

// sleep waits; false when ctx ended first.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(d):
		return true
	}
}
