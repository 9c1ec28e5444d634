package request

import (
	"context"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/routing"
)

// bytesPerToken is a rough size of a token in a prompt, for estimates alone.
const bytesPerToken = 4

// Admission decides whether and when a request runs; admission.Controller is one. It
// fails with Overloaded and a time to come back, or with ctx's end.
type Admission interface {
	// Admit returns a function that must be called once when the request ends.
	Admit(ctx context.Context, ask routing.Ask) (release func(), err error)
}

// admit asks the node's admission, if it has one. It comes before the reservation:
// a request that queues must not hold tokens that another could use.
func (s *Server) admit(ctx context.Context, ask routing.Ask) (release func(), err error) {
	if s.Admission == nil {
		return func() {}, nil
	}
	release, err = s.Admission.Admit(ctx, ask)
	if err != nil && ctx.Err() != nil {
		return nil, leftError(ctx)
	}
	return release, err
}

// askOf describes a request of an account to admission and routing.
func (s *Server) askOf(ctx context.Context, account *operatorv1.Account, service *operatorv1.Service) routing.Ask {
	ask := routing.Ask{Service: service.GetName(), Region: s.Region,
		Account: account.GetName(), Team: account.GetTeam(), Weight: account.GetWeight()}
	ask.Deadline, _ = ctx.Deadline()
	return ask
}
