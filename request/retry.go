package request

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lavenderpin.dev/lavenderpin/event"
)

const (
	// initialRetryDelay and maxRetryDelay bound the backoff interval. The delay before a retry
	// is drawn uniformly between zero and twice the interval (full jitter).
	initialRetryDelay = 25 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// RetryBudget bounds a node's retries in proportion to its requests;
// admission.RetryBudget implements it.
type RetryBudget interface {
	// FirstAttempt is called once for each request.
	FirstAttempt()
	// TryRetry takes one retry from the budget; false if none is left.
	TryRetry() bool
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = initialRetryDelay
	retryBackoff.RandomizationFactor = 1
	retryBackoff.Multiplier = 2
	retryBackoff.MaxInterval = maxRetryDelay
	return retryBackoff
}

// countFirstAttempt adds a request's share of a retry to the retry budget.
func (s *Server) countFirstAttempt() {
	if s.Retries != nil {
		s.Retries.FirstAttempt()
	}
}

// acquireRetry takes a retry from the node's retry budget and waits for the backoff delay.
// It returns false if the request, which is of a kind and may have a deadline, must not be sent
// again. takesRetry is unset while nothing could reach an upstream: none gets more by trying the
// next one.
func (s *Server) acquireRetry(ctx context.Context, takesRetry bool, request, kind string, deadline time.Time, retryBackoff *backoff.ExponentialBackOff) bool {
	if ctx.Err() != nil {
		return false
	}
	if left, draining := s.drainLeft(); draining && s.mayOutlast(kind, deadline, left) {
		s.Events.Record(event.RetryDenied, "request", request, "drain_left_ms", left.Milliseconds())
		return false
	}
	if s.Retries != nil && takesRetry && !s.Retries.TryRetry() {
		s.Events.Record(event.RetryDenied, "request", request)
		return false
	}
	s.Events.Record(event.AttemptRetried, "request", request)
	return s.sleep(ctx, retryBackoff.NextBackOff())
}

// sleep waits for d; false if ctx ended first.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.Clock.After(d):
		return true
	}
}
