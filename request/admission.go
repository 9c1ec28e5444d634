package request

import (
	"context"

	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/routing"
)

// Admission decides whether and when a request runs; admission.Controller implements it.
// It fails with Overloaded and a retry delay, or when ctx ends.
type Admission interface {
	// Admit returns a function that must be called once when the request ends.
	Admit(ctx context.Context, ask routing.Request) (release func(), err error)
}

// admit asks the node's admission controller, if there is one. It runs before the
// reservation, so that a queued request holds no tokens that another could use. A request that
// no upstream wants now isn't queued.
func (s *Server) admit(ctx context.Context, params routing.Request) (release func(), err error) {
	if s.CheckPauses != nil {
		if err := s.CheckPauses(params.Service, s.candidateUpstreams(params.Service)); err != nil {
			return nil, err
		}
	}
	if s.Admission == nil {
		return func() {}, nil
	}
	release, err = s.Admission.Admit(ctx, params)
	if err != nil && nodeEnds(ctx) {
		return nil, drain.Refusal() // nothing was sent
	}
	if err != nil && ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	return release, err
}
