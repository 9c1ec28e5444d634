package request

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/result"
)

// MaxTimeout is the longest timeout that a caller can request.
const MaxTimeout = time.Hour

// withTimeout applies a caller's timeout, 0 for none, and the end of the node.
func (s *Server) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, done := s.untilNodeEnds(ctx)
	if timeout <= 0 {
		return ctx, done
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.Clock, s.timeLeft(timeout))
	return ctx, func() {
		cancel()
		done()
	}
}

// contextError returns the reason why a request's context ended.
func contextError(ctx context.Context) error {
	if nodeEnds(ctx) {
		return nodeEndsError()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, "the request's deadline passed")
	}
	return result.New(result.CallerGone, "the caller left")
}

// isAbandoned reports whether the caller left or its deadline passed.
func isAbandoned(err error) bool {
	code := result.CodeOf(err)
	return code == result.CallerGone || code == result.DeadlineExceeded
}
