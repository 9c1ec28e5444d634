package request

import (
	"context"
	"time"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// ServiceCall is a caller's call of a plain service.
type ServiceCall struct {
	Key     string
	Service string
	Method  string
	// Path below the service as the caller sent it, escaped, from its first slash
	// on; a query may follow.
	Path    string
	Headers map[string]string
	Body    []byte
	// IdempotencyKey or Ticket makes the call run at most once however often the
	// caller sends it. Only one of them may be given.
	IdempotencyKey string
	Ticket         string
	// Timeout is the caller's deadline from now; 0 for none.
	Timeout time.Duration
}

// named tells that the caller can send the call again without a second run.
func (c ServiceCall) named() bool { return c.IdempotencyKey != "" || c.Ticket != "" }

// Call runs a call of a plain service. An idempotent call may be tried again at
// another upstream; any other is sent once, and when its outcome is not known the
// error says so. docs/design/03-at-most-once.md tells what each answer means.
func (s *Server) Call(ctx context.Context, call ServiceCall) (upstream.CallResponse, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.firstAttempt()
	ctx, cancel := s.withTimeout(ctx, call.Timeout)
	defer cancel()
	prepared, err := s.checkCall(call)
	if err != nil {
		return upstream.CallResponse{}, call.doubt(err)
	}
	if call.named() {
		return s.callOnce(ctx, prepared, s.forwardTo(prepared))
	}
	return s.runCall(ctx, prepared)
}

// doubt takes the "not run" out of a refusal that looked at this try alone: an
// earlier try under the same name may have run.
func (c ServiceCall) doubt(err error) error {
	if !c.named() {
		return err
	}
	return result.From(err).WithMayHaveRun()
}

func (s *Server) checkCall(call ServiceCall) (*preparedCall, error) {
	view := s.Config()
	account, err := s.authenticate(view, call.Key)
	if err != nil {
		return nil, s.refused("", err)
	}
	prepared, err := prepareCall(view, account, call)
	if err != nil {
		return nil, s.refused(account.GetName(), err)
	}
	return prepared, nil
}

// preparedCall is a call that was checked.
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
	path, err := cleanPath(call.Path)
	if err != nil {
		return nil, err
	}
	return &preparedCall{call: call, account: account, service: service, rule: matchCall(service, call.Method, path)}, nil
}

// runCall admits, reserves, sends and settles a call.
func (s *Server) runCall(ctx context.Context, p *preparedCall) (upstream.CallResponse, error) {
	account := p.account.GetName()
	release, err := s.admit(ctx, s.askOf(ctx, p.account, p.service))
	if err != nil {
		return upstream.CallResponse{}, s.refused(account, err)
	}
	defer release()
	grant, err := s.reserve(ctx, s.Config(), account, p.service.GetName(), p.rule.GetTokens())
	if err != nil {
		return upstream.CallResponse{}, s.refused(account, err)
	}
	// Finishing twice is harmless: after a panic, this gives the tokens back.
	defer grant.Finish(0)
	answer, err := s.callAttempts(ctx, grant, p)
	if err != nil {
		grant.Finish(0)
		s.Events.Record(event.RequestFailed, "request", grant.Request(), "code", uint32(result.CodeOf(err)), "why", err)
		return answer, named(grant.Request().String(), err)
	}
	grant.Finish(p.rule.GetTokens())
	s.Events.Record(event.RequestFinished, "request", grant.Request(), "tokens", p.rule.GetTokens())
	return answer, nil
}

func (s *Server) callAttempts(ctx context.Context, grant budget.Grant, p *preparedCall) (upstream.CallResponse, error) {
	ask := s.askOf(ctx, p.account, p.service)
	ask.Tried = map[string]bool{}
	pause := newPause()
	var last error
	for n := range maxAttempts {
		if n > 0 && !s.mayRetry(ctx, grant.Request().String(), pause) {
			break
		}
		pick, err := s.Picker.Pick(ask, s.upstreams(p.service.GetName()))
		if err != nil {
			return upstream.CallResponse{}, firstError(last, err)
		}
		answer, err := s.callAttempt(ctx, grant, p, pick.Upstream)
		pick.Done(err)
		if err == nil {
			return answer, nil
		}
		last = ofBoth(last, err)
		ask.Tried[pick.Upstream.GetName()] = true
		if !mayCallAgain(err, p.rule) {
			break
		}
	}
	return upstream.CallResponse{}, last
}

// callAttempt sends a call to one upstream.
func (s *Server) callAttempt(ctx context.Context, grant budget.Grant, p *preparedCall, to *operatorv1.Upstream) (upstream.CallResponse, error) {
	if err := grant.Dispatch(ctx, to.GetName()); err != nil {
		return upstream.CallResponse{}, err
	}
	id := grant.Request().String()
	s.Events.Record(event.RequestDispatched, "request", id, "upstream", to.GetName())
	answer, err := s.Client.Call(ctx, to, upstream.CallRequest{
		ID: id, Method: p.call.Method, Path: p.call.Path, Headers: p.call.Headers, Body: p.call.Body,
		NoResend: !p.rule.GetIdempotent(), NotAfter: grant.NotAfter(),
	})
	switch {
	case err == nil || refusedUnrun(err):
		return answer, err
	case !p.rule.GetIdempotent():
		// It may have run: a caller that takes this for a refusal would file the
		// work order again.
		return answer, result.New(result.OutcomeUnknown, "%s", result.From(err).Message)
	case ctx.Err() != nil:
		return answer, leftError(ctx)
	}
	return answer, err
}

// refusedUnrun tells that nothing was sent, or that the upstream refused it unread.
func refusedUnrun(err error) bool {
	code := result.CodeOf(err)
	return code == result.NoUpstream || code == result.RequestExpired
}

// mayCallAgain tells that a call may be sent to another upstream: when it surely
// hasn't run, or when it is declared idempotent.
func mayCallAgain(err error, rule *operatorv1.Call) bool {
	if refusedUnrun(err) {
		return true
	}
	switch result.CodeOf(err) {
	case result.UpstreamFailed, result.AnswerCut, result.AnswerCrossed:
		return rule.GetIdempotent()
	}
	return false
}
