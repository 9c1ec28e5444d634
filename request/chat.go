package request

import (
	"context"
	"io"
	"time"

	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	maxAttempts   = 3
	cancelTimeout = 2 * time.Second
)

// ChatCall is a caller's completion request.
type ChatCall struct {
	// Key authenticates the client account.
	Key  string
	Body []byte
}

// chatRun is one completion on its way.
type chatRun struct {
	server  *Server
	account *operatorv1.Account
	service *operatorv1.Service
	model   string
	body    []byte
	grant   budget.Grant
	sink    Sink
	started bool
	usage   upstream.Usage
	// delivered counts the chunks with content that reached the caller.
	delivered uint64
}

// Chat runs a completion and passes the answer to the sink. A nil error means
// that the sink got the whole answer.
//
// What is billed: the engine's own count when the answer was whole; prompt and
// delivered tokens when the caller left; nothing when the answer failed.
func (s *Server) Chat(ctx context.Context, call ChatCall, sink Sink) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	run, err := s.admitChat(ctx, call, sink)
	if err != nil {
		return err
	}
	err = run.attempts(ctx)
	run.settle(err)
	return err
}

func (s *Server) admitChat(ctx context.Context, call ChatCall, sink Sink) (*chatRun, error) {
	view := s.Config()
	account, err := s.authenticate(view, call.Key)
	if err != nil {
		return nil, s.refused("", err)
	}
	body, fields, err := parseChat(call.Body)
	if err != nil {
		return nil, s.refused(account.GetName(), err)
	}
	service := view.ServiceByModel(body.Model)
	if service == nil {
		return nil, s.refused(account.GetName(), result.New(result.UnknownService, "no service has model %q", body.Model))
	}
	limit, err := body.answerLimit(service.GetMaxAnswerTokens())
	if err != nil {
		return nil, s.refused(account.GetName(), err)
	}
	toEngine, err := engineBody(fields, limit)
	if err != nil {
		return nil, s.refused(account.GetName(), result.New(result.MalformedRequest, "%v", err))
	}
	grant, err := s.reserve(ctx, view, account.GetName(), service.GetName(), body.promptBound()+limit)
	if err != nil {
		return nil, s.refused(account.GetName(), err)
	}
	return &chatRun{server: s, account: account, service: service, model: body.Model, body: toEngine, grant: grant, sink: sink}, nil
}

// attempts tries engines until one answers, as long as nothing reached the caller.
func (r *chatRun) attempts(ctx context.Context) error {
	tried := map[string]bool{}
	var last error
	for range maxAttempts {
		ask := routing.Ask{Service: r.service.GetName(), Model: r.model, Region: r.server.Region, Tried: tried}
		pick, err := r.server.Picker.Pick(ask, r.server.Config().Upstreams(r.service.GetName()))
		if err != nil {
			return firstError(last, err)
		}
		last = r.attempt(ctx, pick.Upstream)
		pick.Done(last)
		if last == nil || r.started || ctx.Err() != nil {
			return last
		}
		tried[pick.Upstream.GetName()] = true
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

func (r *chatRun) attempt(ctx context.Context, to *operatorv1.Upstream) error {
	id := r.grant.Request()
	r.server.Events.Record(event.RequestDispatched, "request", id, "upstream", to.GetName())
	if err := r.grant.Dispatch(ctx, to.GetName()); err != nil {
		return err
	}
	stream, err := r.server.Client.Chat(ctx, to, upstream.ChatRequest{ID: id.String(), Body: r.body})
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { r.cancel(to) })
	defer stop()
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			r.server.Events.Record(event.AnswerRejected, "request", id, "upstream", to.GetName(), "why", err)
			return err
		}
		if err := r.pass(ctx, chunk); err != nil {
			r.cancel(to)
			return err
		}
	}
}

func (r *chatRun) pass(ctx context.Context, chunk upstream.Chunk) error {
	if ctx.Err() != nil {
		return result.New(result.CallerGone, "the caller left")
	}
	if chunk.Usage != nil {
		r.usage = *chunk.Usage
	}
	if !r.started {
		r.started = true
		r.sink.Start(r.grant.Request(), r.model)
	}
	if err := r.sink.Chunk(chunk); err != nil {
		return result.New(result.CallerGone, "the caller left: %v", err)
	}
	if chunk.Content != "" {
		r.delivered++
		r.grant.Progress(r.delivered)
	}
	return nil
}

// cancel stops the engine's work on the request. Without it an engine would go on
// generating for nobody, which shows as slots in use without answers.
func (r *chatRun) cancel(to *operatorv1.Upstream) {
	ctx, done := clockwork.WithTimeout(context.Background(), r.server.Clock, cancelTimeout)
	defer done()
	_ = r.server.Client.Cancel(ctx, to, r.grant.Request().String())
}

func (r *chatRun) settle(err error) {
	id := r.grant.Request()
	switch {
	case err == nil:
		r.grant.Finish(r.usage.Total())
		r.server.Events.Record(event.RequestFinished, "request", id, "tokens", r.usage.Total())
	case result.CodeOf(err) == result.CallerGone && r.started:
		r.grant.Finish(r.delivered)
		r.server.Events.Record(event.CallerLeft, "request", id, "tokens", r.delivered)
	default:
		r.grant.Finish(0)
		r.server.Events.Record(event.RequestFailed, "request", id, "code", uint32(result.CodeOf(err)), "why", err)
	}
}
