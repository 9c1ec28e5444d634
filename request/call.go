package request

import (
	"context"
	"strings"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/upstream"
)

// ServiceCall is a caller's call of a plain service.
type ServiceCall struct {
	Key     string
	Service string
	Method  string
	// Path below the service, from its first slash on.
	Path    string
	Headers map[string]string
	Body    []byte
	// IdempotencyKey makes a non-idempotent call run at most once however often
	// the caller sends it.
	IdempotencyKey string
}

// Call runs a call of a plain service. An idempotent call may be tried again at
// another upstream; any other is sent once, and when its outcome is not known the
// error says so.
func (s *Server) Call(ctx context.Context, call ServiceCall) (upstream.CallAnswer, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	view := s.Config()
	account, err := s.authenticate(view, call.Key)
	if err != nil {
		return upstream.CallAnswer{}, s.refused("", err)
	}
	service := view.Service(call.Service)
	if service == nil || service.GetKind() != operatorv1.ServiceKind_SERVICE_KIND_PLAIN {
		return upstream.CallAnswer{}, s.refused(account.GetName(), result.New(result.UnknownService, "no plain service %q", call.Service))
	}
	rule := matchCall(service, call.Method, call.Path)
	grant, err := s.reserve(ctx, view, account.GetName(), service.GetName(), rule.GetTokens())
	if err != nil {
		return upstream.CallAnswer{}, s.refused(account.GetName(), err)
	}
	answer, err := s.callAttempts(ctx, grant, service, rule, upstream.CallRequest{
		ID: grant.Request().String(), Method: call.Method, Path: call.Path, Headers: call.Headers, Body: call.Body,
	})
	if err != nil {
		grant.Finish(0)
		s.Events.Record(event.RequestFailed, "request", grant.Request(), "code", uint32(result.CodeOf(err)), "why", err)
		return answer, err
	}
	grant.Finish(rule.GetTokens())
	s.Events.Record(event.RequestFinished, "request", grant.Request(), "tokens", rule.GetTokens())
	return answer, nil
}

func (s *Server) callAttempts(ctx context.Context, grant budget.Grant, service *operatorv1.Service, rule *operatorv1.Call, r upstream.CallRequest) (upstream.CallAnswer, error) {
	tried := map[string]bool{}
	var last error
	for range maxAttempts {
		ask := routing.Ask{Service: service.GetName(), Region: s.Region, Tried: tried}
		pick, err := s.Picker.Pick(ask, s.Config().Upstreams(service.GetName()))
		if err != nil {
			return upstream.CallAnswer{}, firstError(last, err)
		}
		s.Events.Record(event.RequestDispatched, "request", r.ID, "upstream", pick.Upstream.GetName())
		if err := grant.Dispatch(ctx, pick.Upstream.GetName()); err != nil {
			pick.Done(err)
			return upstream.CallAnswer{}, err
		}
		answer, err := s.Client.Call(ctx, pick.Upstream, r)
		pick.Done(err)
		if err == nil {
			return answer, nil
		}
		last = err
		tried[pick.Upstream.GetName()] = true
		if ctx.Err() != nil {
			break
		}
		// Only a proof that nothing was sent allows another try of a call that
		// must not run twice; a caller would otherwise find two work orders.
		if !rule.GetIdempotent() && result.CodeOf(err) != result.NoUpstream {
			return answer, result.New(result.OutcomeUnknown, "%s", result.From(err).Message)
		}
	}
	return upstream.CallAnswer{}, last
}

// matchCall returns the declaration with the longest matching path. A call that
// none matches is taken as not idempotent and free.
func matchCall(service *operatorv1.Service, method, path string) *operatorv1.Call {
	best := &operatorv1.Call{}
	for _, rule := range service.GetCalls() {
		if rule.GetMethod() != "" && rule.GetMethod() != method {
			continue
		}
		if strings.HasPrefix(path, rule.GetPath()) && len(rule.GetPath()) >= len(best.GetPath()) {
			best = rule
		}
	}
	return best
}
