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
	// IdempotencyKey, when given, makes the completion run and be billed once however
	// often the caller sends it.
	IdempotencyKey string
}

// Chat runs a completion and passes the answer to the sink. A nil error means
// that the sink got the whole answer. docs/operators/billing-rules.md tells what is
// billed.
func (s *Server) Chat(ctx context.Context, call ChatCall, sink Sink) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.firstAttempt()
	ctx, cancel := s.withTimeout(ctx, call.Timeout)
	defer cancel()
	if call.IdempotencyKey != "" {
		return s.chatOnce(ctx, call, sink)
	}
	account, err := s.authenticate(s.Config(), call.Key)
	if err != nil {
		return s.refused("", err)
	}
	return s.runChat(ctx, account, call.Body, sink)
}

// runChat admits, covers, sends and settles a completion.
func (s *Server) runChat(ctx context.Context, account *operatorv1.Account, body []byte, sink Sink) error {
	run, release, err := s.admitChat(ctx, account, body, sink)
	if err != nil {
		return s.refused(account.GetName(), err)
	}
	defer release()
	return named(run.grant.Request().String(), run.run(ctx))
}

func (s *Server) admitChat(ctx context.Context, account *operatorv1.Account, raw []byte, sink Sink) (*chatRun, func(), error) {
	body, err := parseChat(raw)
	if err != nil {
		return nil, nil, err
	}
	service := s.Config().ServiceByModel(body.Model)
	if service == nil {
		return nil, nil, result.New(result.UnknownService, "no service has model %q", body.Model)
	}
	run := &chatRun{server: s, account: account, service: service, model: body.Model, sink: sink}
	release, err := s.coverChat(ctx, run, body)
	return run, release, err
}

// coverChat admits a run and reserves its worst case.
func (s *Server) coverChat(ctx context.Context, run *chatRun, body *chatBody) (func(), error) {
	limit, err := body.answerLimit(run.service.GetMaxAnswerTokens())
	if err != nil {
		return nil, err
	}
	priority := body.priorityWithin(run.account)
	body.setPriority(run.service.GetPriorityOrder(), priority)
	if run.body, err = body.forEngine(limit); err != nil {
		return nil, result.New(result.MalformedRequest, "%v", err)
	}
	run.bound = body.tokenBound(limitsOf(run.service), limit)
	run.prompt = s.askOf(ctx, run.account, run.service)
	run.prompt.Priority = priority
	run.prompt.Model, run.prompt.AnswerTokens = run.model, int(limit)
	body.describe(&run.prompt)
	release, err := s.admit(ctx, run.prompt)
	if err != nil {
		return nil, err
	}
	run.grant, err = s.reserveChat(ctx, run)
	if err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// ofBoth returns the error that is true of an earlier attempt and of the last one.
// Without it a request whose first attempt may have run, and whose second reached
// nobody, would be refused as "not run", and a caller would believe it.
func ofBoth(before, last error) error {
	if before != nil && last != nil && result.CodeOf(last).Info().NotRun && !result.CodeOf(before).Info().NotRun {
		return before
	}
	return last
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
