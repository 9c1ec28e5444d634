package request

import (
	"context"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/routing"
)

// bytesPerToken is a rough size of a token in a prompt, for estimates alone.
const bytesPerToken = 4

// ask describes the run to the picker.
func (r *chatRun) ask(tried map[string]bool) routing.Ask {
	ask := r.prompt
	ask.Tried = tried
	return ask
}

// askOf describes a request of an account to admission and routing.
func (s *Server) askOf(ctx context.Context, account *operatorv1.Account, service *operatorv1.Service) routing.Ask {
	ask := routing.Ask{Service: service.GetName(), Region: s.Region,
		Account: account.GetName(), Team: account.GetTeam(), Weight: account.GetWeight()}
	ask.Deadline, _ = ctx.Deadline()
	return ask
}
