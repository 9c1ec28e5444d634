package request

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/result"
)

// MaxTimeout bounds the deadline that a caller may ask for.
const MaxTimeout = time.Hour

// withTimeout applies a caller's deadline; 0 for none.
func (s *Server) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return clockwork.WithTimeout(ctx, s.Clock, min(timeout, MaxTimeout))
}

// leftError tells why a request's context ended.
func leftError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, "the request's deadline passed")
	}
	return result.New(result.CallerGone, "the caller left")
}

// isLeft tells that the caller gave the request up.
func isLeft(err error) bool {
	code := result.CodeOf(err)
	return code == result.CallerGone || code == result.DeadlineExceeded
}
