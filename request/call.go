package request

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// ServiceCall is a caller's request to a plain service.
type ServiceCall struct {
	Key     string
	Service string
	Method  string
	// Path is the path below the service name as the caller sent it: escaped, starting
	// with a slash, with an optional query.
	Path    string
	Headers map[string]string
	Body    []byte
	// IdempotencyKey or Ticket makes the call run at most once, however often the caller
	// sends it. Only one of them may be set.
	IdempotencyKey string
	Ticket         string
	// Timeout is the caller's timeout, relative to now; 0 for none.
	Timeout time.Duration
}

// atMostOnce reports whether the call carries an idempotency key or a ticket, so that the
// caller can resend it without a second run.
func (c ServiceCall) atMostOnce() bool { return c.IdempotencyKey != "" || c.Ticket != "" }

// Call runs a call of a plain service. An idempotent call may be retried at another
// upstream. Any other call is sent once, and if its outcome is unknown, the error says so.
// docs/design/03-at-most-once.md describes each answer.
func (s *Server) Call(ctx context.Context, call ServiceCall) (upstream.CallResponse, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.countFirstAttempt()
	ctx, cancel := s.withTimeout(ctx, call.Timeout)
	defer cancel()
	prepared, err := s.authenticateCall(call)
	if err != nil {
		return upstream.CallResponse{}, call.clearNotRun(err)
	}
	if call.atMostOnce() {
		return s.callOnce(ctx, prepared, s.callForwarder(prepared))
	}
	return s.runCall(ctx, prepared)
}

// clearNotRun removes the "not run" claim from an error that covers only this try: an
// earlier try with the same key or ticket may have run.
func (c ServiceCall) clearNotRun(err error) error {
	if !c.atMostOnce() {
		return err
	}
	return result.From(err).WithMayHaveRun()
}

func (s *Server) authenticateCall(call ServiceCall) (*preparedCall, error) {
	view := s.Config()
	account, err := s.authenticate(view, call.Key)
	if err != nil {
		return nil, s.recordRefusal("", err)
	}
	prepared, err := prepareCall(view, account, call)
	if err != nil {
		return nil, s.recordRefusal(account.GetName(), err)
	}
	return prepared, nil
}

// preparedCall is a call of an authenticated account with its service and matching rule.
type preparedCall struct {
	call    ServiceCall
	account *operatorv1.Account
	service *operatorv1.Service
	rule    *operatorv1.Call
}

func prepareCall(view *config.View, account *operatorv1.Account, call ServiceCall) (*preparedCall, error) {
	service := view.Service(call.Service)
	if service == nil || service.GetKind() != operatorv1.ServiceKind_SERVICE_KIND_PLAIN {
		return nil, result.New(result.UnknownService, "no plain service %q", call.Service)
	}
	path, err := validatePath(call.Path)
	if err != nil {
		return nil, err
	}
	return &preparedCall{call: call, account: account, service: service, rule: matchRule(service, call.Method, path)}, nil
}

// kind identifies calls that usually take about as long as this one.
func (p *preparedCall) kind() string {
	return p.service.GetName() + " " + p.rule.GetMethod() + " " + p.rule.GetPath()
}

func (s *Server) refuseCallIfDraining(ctx context.Context, p *preparedCall) error {
	if p.call.Ticket != "" {
		return s.refuseTicketIfDraining(p.kind())
	}
	if !p.rule.GetIdempotent() {
		return s.refuseOnceIfDraining(ctx, p.kind())
	}
	return s.refuseIfDraining(ctx, p.kind())
}

// runCall admits a call, reserves its tokens, sends it and settles it.
func (s *Server) runCall(ctx context.Context, p *preparedCall) (upstream.CallResponse, error) {
	account, started := p.account.GetName(), s.Clock.Now()
	if err := s.refuseCallIfDraining(ctx, p); err != nil {
		return upstream.CallResponse{}, s.recordRefusal(account, err)
	}
	release, err := s.admit(ctx, s.newRoutingRequest(ctx, p.account, p.service))
	if err != nil {
		return upstream.CallResponse{}, s.recordRefusal(account, err)
	}
	defer release()
	grant, err := s.reserve(ctx, s.Config(), account, p.service.GetName(), p.rule.GetTokens())
	if err != nil {
		return upstream.CallResponse{}, s.recordRefusal(account, err)
	}
	// Releases the tokens after a panic; a second Finish has no effect.
	defer grant.Finish(0)
	response, err := s.callAttempts(ctx, grant, p)
	if err != nil {
		if nodeEnds(ctx) && result.From(err).NotRun() {
			err = drain.Refusal()
		}
		grant.Finish(0)
		s.Events.Record(event.RequestFailed, "request", grant.Request(), "code", uint32(result.CodeOf(err)), "why", err)
		return response, withRequestID(grant.Request().String(), err)
	}
	grant.Finish(p.rule.GetTokens())
	s.durations.Record(p.kind(), s.Clock.Since(started))
	s.Events.Record(event.RequestFinished, "request", grant.Request(), "tokens", p.rule.GetTokens())
	return response, nil
}

func (s *Server) callAttempts(ctx context.Context, grant budget.Grant, p *preparedCall) (upstream.CallResponse, error) {
	params := s.newRoutingRequest(ctx, p.account, p.service)
	waits := newWaits()
	retryBackoff := newRetryBackoff()
	var last error
	var othersTold <-chan struct{}
	defer func() { quarantine.AwaitTold(ctx, othersTold) }()
	content := callContent(p.account.GetName(), p.call)
	permit := s.Quarantine.NewPermit(grant.Request().String(), content)
	defer permit.End()
	takesRetry := false
	for n := range maxAttempts {
		if err := s.refuseIfCrashing(content); err != nil {
			return upstream.CallResponse{}, err
		}
		if err := s.awaitPermit(ctx, permit); err != nil {
			return upstream.CallResponse{}, mergeAttemptErrors(last, err)
		}
		if n > 0 && !s.acquireRetry(ctx, takesRetry, grant.Request().String(), p.kind(), params.Deadline, retryBackoff) {
			break
		}
		pick, err := s.pick(ctx, params, waits)
		if err != nil {
			return upstream.CallResponse{}, pickError(last, err)
		}
		sentAt := s.Quarantine.Now()
		response, err := s.callAttempt(ctx, grant, p, pick.Upstream, permit)
		pick.Done(err)
		if err == nil {
			othersTold = nil
			s.Quarantine.Answered(content)
			return response, nil
		}
		if told := s.recordCrash(ctx, quarantine.Attempt{ID: grant.Request().String(), Request: content, Upstream: pick.Upstream.GetName(), SentAt: sentAt}, err); told != nil {
			othersTold = told
		}
		permit.End()
		last = mergeAttemptErrors(last, err)
		takesRetry = takesRetry || result.From(err).TakesRetry()
		waits.recordFailure(pick.Upstream, err)
		if !canRetryCall(err, p.rule) {
			break
		}
	}
	return upstream.CallResponse{}, last
}

// callAttempt sends a call to one upstream.
func (s *Server) callAttempt(ctx context.Context, grant budget.Grant, p *preparedCall, target *operatorv1.Upstream, permit *quarantine.Permit) (upstream.CallResponse, error) {
	if err := grant.Dispatch(ctx, target.GetName()); err != nil {
		return upstream.CallResponse{}, err
	}
	id := grant.Request().String()
	if !permit.Begin() {
		return upstream.CallResponse{}, errSentElsewhere()
	}
	s.recordDispatch(id, target.GetName(), permit)
	response, err := s.Client.Call(ctx, target, upstream.CallRequest{
		ID: id, Method: p.call.Method, Path: p.call.Path, Headers: p.call.Headers, Body: p.call.Body,
		NoResend: !p.rule.GetIdempotent(), NotAfter: grant.NotAfter(),
	})
	switch {
	case err == nil || rejectedBeforeExecution(err):
		return response, err
	case !p.rule.GetIdempotent() && nodeEnds(ctx):
		return response, result.New(result.OutcomeUnknown, "%v", drain.ErrNodeEnds)
	case !p.rule.GetIdempotent():
		// The call may have run. A caller that took this for a refusal would submit the
		// work order again.
		unknown := result.New(result.OutcomeUnknown, "%s", result.From(err).Message)
		unknown.ConnectionLost = result.From(err).ConnectionLost
		return response, unknown
	case ctx.Err() != nil:
		return response, contextError(ctx)
	}
	return response, err
}

// rejectedBeforeExecution reports whether nothing was sent, also since an upstream crashed under the request meanwhile, or
// the upstream refused the request without reading it.
func rejectedBeforeExecution(err error) bool {
	code := result.CodeOf(err)
	return code == result.NoUpstream || code == result.RequestExpired || code == result.SentElsewhere
}

// canRetryCall reports whether a call may be sent to another upstream: either it certainly
// did not run, or it is declared idempotent.
func canRetryCall(err error, rule *operatorv1.Call) bool {
	if rejectedBeforeExecution(err) {
		return true
	}
	switch result.CodeOf(err) {
	case result.UpstreamFailed, result.AnswerCut, result.AnswerCrossed:
		return rule.GetIdempotent()
	}
	return false
}
