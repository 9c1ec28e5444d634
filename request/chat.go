package request

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	maxAttempts = 3
	// maxResumes bounds how often one attempt reads on from a stream that broke off.
	maxResumes    = 3
	cancelTimeout = 2 * time.Second
)

// ChatCall is a caller's completion request.
type ChatCall struct {
	// Key authenticates the client account.
	Key  string
	Body []byte
	// Timeout is the caller's deadline from now; 0 for none.
	Timeout time.Duration
}

// Chat runs a completion and passes the answer to the sink. A nil error means
// that the sink got the whole answer. docs/operators/billing-rules.md tells what is
// billed.
func (s *Server) Chat(ctx context.Context, call ChatCall, sink Sink) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.retries.earn()
	ctx, cancel := s.withTimeout(ctx, call.Timeout)
	defer cancel()
	run, release, err := s.admitChat(ctx, call, sink)
	if err != nil {
		return err
	}
	defer release()
	return run.run(ctx)
}

func (s *Server) admitChat(ctx context.Context, call ChatCall, sink Sink) (*chatRun, func(), error) {
	view := s.Config()
	account, err := s.authenticate(view, call.Key)
	if err != nil {
		return nil, nil, s.refused("", err)
	}
	body, err := parseChat(call.Body)
	if err != nil {
		return nil, nil, s.refused(account.GetName(), err)
	}
	service := view.ServiceByModel(body.Model)
	if service == nil {
		return nil, nil, s.refused(account.GetName(), result.New(result.UnknownService, "no service has model %q", body.Model))
	}
	run := &chatRun{server: s, account: account, service: service, model: body.Model, sink: sink}
	release, err := s.coverChat(ctx, run, body)
	if err != nil {
		return nil, nil, s.refused(account.GetName(), err)
	}
	return run, release, nil
}

// coverChat admits a run and reserves its worst case.
func (s *Server) coverChat(ctx context.Context, run *chatRun, body *chatBody) (func(), error) {
	limit, err := body.answerLimit(run.service.GetMaxAnswerTokens())
	if err != nil {
		return nil, err
	}
	if run.body, err = body.forEngine(limit); err != nil {
		return nil, result.New(result.MalformedRequest, "%v", err)
	}
	body.describe(&run.prompt)
	run.prompt.AnswerTokens = int(limit)
	tokens := body.promptBound() + limit
	release, err := s.admit(ctx, askOf(run.account, run.service, tokens))
	if err != nil {
		return nil, err
	}
	run.grant, err = s.reserve(ctx, s.Config(), run.account.GetName(), run.service.GetName(), tokens)
	if err != nil {
		release()
		return nil, err
	}
	return release, nil
}

func askOf(account *operatorv1.Account, service *operatorv1.Service, tokens uint64) Ask {
	return Ask{Account: account.GetName(), Team: account.GetTeam(), Weight: account.GetWeight(),
		Service: service.GetName(), Tokens: tokens}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
