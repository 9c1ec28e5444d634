package request

import (
	"context"

	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/drain"
)

// openRequest is a request that the end of the node cancels.
type openRequest struct{ cancel context.CancelCauseFunc }

// untilNodeEnds returns a context that is canceled when the node ends. done must be called when
// the request has ended.
func (s *Server) untilNodeEnds(ctx context.Context) (_ context.Context, done context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &openRequest{cancel}
	s.open.Store(r, struct{}{})
	if s.ended.Load() {
		cancel(drain.ErrNodeEnds)
	}
	return ctx, func() {
		s.open.Delete(r)
		cancel(nil)
	}
}

// nodeEnds reports whether a request's context ended because the node ends.
func nodeEnds(ctx context.Context) bool { return errors.Is(context.Cause(ctx), drain.ErrNodeEnds) }
