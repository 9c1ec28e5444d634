package request

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"lavenderpin.dev/lavenderpin/event"
)

const (
	// firstPause and longestPause bound the wait before a retry, which is drawn
	// evenly between zero and twice the interval (full jitter).
	firstPause   = 25 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// RetryBudget bounds a node's retries in proportion to its requests;
// admission.RetryBudget is one.
type RetryBudget interface {
	// FirstAttempt is told of each request.
	FirstAttempt()
	// TryRetry takes one retry out; false if there is none.
	TryRetry() bool
}

func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.RandomizationFactor = 1
	pause.Multiplier = 2
	pause.MaxInterval = longestPause
	return pause
}

// firstAttempt pays for a share of a retry.
func (s *Server) firstAttempt() {
	if s.Retries != nil {
		s.Retries.FirstAttempt()
	}
}

// mayRetry takes a retry out of the node's budget and waits before it; false when
// the request isn't to be sent again.
func (s *Server) mayRetry(ctx context.Context, request string, pause *backoff.ExponentialBackOff) bool {
	if ctx.Err() != nil {
		return false
	}
	if s.Retries != nil && !s.Retries.TryRetry() {
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
