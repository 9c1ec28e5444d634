package request

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	maxAttempts = 3
	// maxResumes bounds how often one attempt resumes an interrupted stream; progress resets
	// the count.
	maxResumes    = 3
	cancelTimeout = 2 * time.Second
)

// ChatCall is a caller's completion request.
type ChatCall struct {
	// Key authenticates the client account.
	Key  string
	Body []byte
	// Timeout is the caller's timeout, relative to now; 0 for none.
	Timeout time.Duration
	// IdempotencyKey, if set, makes the completion run and be billed once, however often
	// the caller sends it.
	IdempotencyKey string
}

// Chat runs a completion and writes the answer to the sink. A nil error means that the
// sink got the complete answer. docs/operators/billing-rules.md describes what is billed.
func (s *Server) Chat(ctx context.Context, call ChatCall, sink Sink) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.countFirstAttempt()
	ctx, cancel := s.withTimeout(ctx, call.Timeout)
	defer cancel()
	if call.IdempotencyKey != "" {
		return s.chatOnce(ctx, call, sink)
	}
	account, err := s.authenticate(s.Config(), call.Key)
	if err != nil {
		return s.recordRefusal("", err)
	}
	return s.runChat(ctx, account, call.Body, sink)
}

// runChat admits a completion, reserves its tokens, sends it and settles it.
func (s *Server) runChat(ctx context.Context, account *operatorv1.Account, body []byte, sink Sink) error {
	started := s.Clock.Now()
	run, release, err := s.prepareChat(ctx, account, body, sink)
	if err != nil {
		return s.recordRefusal(account.GetName(), err)
	}
	defer release()
	if err := run.run(ctx); err != nil {
		return withRequestID(run.grant.Request().String(), err)
	}
	s.durations.Record(run.service.GetName(), s.Clock.Since(started))
	return nil
}

func (s *Server) prepareChat(ctx context.Context, account *operatorv1.Account, raw []byte, sink Sink) (*chatRun, func(), error) {
	body, err := parseChat(raw)
	if err != nil {
		return nil, nil, err
	}
	service := s.Config().ServiceByModel(body.Model)
	if service == nil {
		return nil, nil, result.New(result.UnknownService, "no service has model %q", body.Model)
	}
	if err := s.refuseIfDraining(ctx, service.GetName()); err != nil {
		return nil, nil, err
	}
	run := &chatRun{server: s, account: account, service: service, model: body.Model, sink: sink, content: chatContent(account.GetName(), raw)}
	if err := s.refuseIfCrashing(run.content); err != nil {
		return nil, nil, err
	}
	release, err := s.admitAndReserve(ctx, run, body)
	return run, release, err
}

// admitAndReserve prepares a run's body, admits it and reserves its worst case in tokens.
func (s *Server) admitAndReserve(ctx context.Context, run *chatRun, body *chatBody) (func(), error) {
	limit, err := body.answerLimit(run.service.GetMaxAnswerTokens())
	if err != nil {
		return nil, err
	}
	priority := body.effectivePriority(run.account)
	body.setPriority(run.service.GetPriorityOrder(), priority)
	if run.body, err = body.encodeForEngine(limit); err != nil {
		return nil, result.New(result.MalformedRequest, "%v", err)
	}
	run.bound = body.tokenBound(declaredLimits(run.service), limit)
	run.prompt = s.newRoutingRequest(ctx, run.account, run.service)
	run.prompt.Priority = priority
	run.prompt.Model, run.prompt.AnswerTokens = run.model, int(limit)
	body.describePrompt(&run.prompt)
	run.parts = run.sharedParts()
	run.partIDs = quarantine.PartIDs(run.parts)
	if err := run.refuseIfBlocked(); err != nil {
		return nil, err
	}
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

// mergeAttemptErrors returns the error that holds for both an earlier attempt and the last
// one. Otherwise a request whose first attempt may have run, and whose second reached no
// upstream, would be reported as "not run", and the caller would believe it.
func mergeAttemptErrors(earlier, last error) error {
	if earlier != nil && last != nil && result.CodeOf(last).Info().NotRun && !result.CodeOf(earlier).Info().NotRun {
		return earlier
	}
	return last
}

// pickError returns the error of a request for which no upstream is left: that of its last
// attempt, if there was one. If all others are paused, a retry can succeed after the first pause.
func pickError(last, err error) error {
	if last == nil {
		return err
	}
	if paused := result.From(err); paused.Pause > 0 {
		return result.From(last).WithRetryAfter(paused.RetryAfter)
	}
	return last
}
