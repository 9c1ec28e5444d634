package request

import (
	"context"

	"lavenderpin.dev/lavenderpin/routing"
)

// Admission decides whether and when a request runs; admission.Controller is one. It
// fails with Overloaded and a time to come back, or with ctx's end.
type Admission interface {
	// Admit returns a function that must be called once when the request ends.
	Admit(ctx context.Context, ask routing.Request) (release func(), err error)
}

// admit asks the node's admission, if it has one. It comes before the reservation:
// a request that queues must not hold tokens that another could use.
func (s *Server) admit(ctx context.Context, ask routing.Request) (release func(), err error) {
	if s.Admission == nil {
		return func() {}, nil
	}
	release, err = s.Admission.Admit(ctx, ask)
	if err != nil && ctx.Err() != nil {
		return nil, leftError(ctx)
	}
	return release, err
}
