package request

import (
	"context"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/idempotency"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

const (
	chatMethod = "POST"
	chatPath   = "/v1/chat/completions"
	statusOK   = 200
)

// chatOnce runs a completion that its caller named by a key: sent again, to any node,
// it is neither run nor billed a second time. It goes on when its caller leaves, since
// a caller with a key comes back for the answer.
func (s *Server) chatOnce(ctx context.Context, call ChatCall, sink Sink) error {
	account, err := s.authenticate(s.Config(), call.Key)
	if err != nil {
		return result.From(s.refused("", err)).WithMayHaveRun()
	}
	if err := s.checkName(call.named()); err != nil {
		return s.refused(account.GetName(), err)
	}
	recorded := newRecording(sink.Streams())
	ended := make(chan chatEnd, 1)
	go func() {
		answer, err := s.doChat(ctx, account, call, recorded, s.forwardChat(account, call))
		ended <- chatEnd{answer, err}
	}()
	return follow(recorded, ended, sink)
}

// chatEnd is how a named completion ended.
type chatEnd struct {
	answer idempotency.Response
	err    error
}

// named returns the completion as a call of a service without a name.
func (c ChatCall) named() ServiceCall {
	return ServiceCall{Method: chatMethod, Path: chatPath, Body: c.Body, IdempotencyKey: c.IdempotencyKey}
}

func (s *Server) doChat(ctx context.Context, account *operatorv1.Account, call ChatCall, recorded *recording, forward idempotency.ForwardFunc) (idempotency.Response, error) {
	named := idempotency.Call{
		ID:     idempotency.ID{Account: account.GetName(), Key: call.IdempotencyKey},
		Digest: digestOf(call.named()),
	}
	return s.Runner.Do(ctx, named, func(ctx context.Context) (idempotency.Response, error) {
		if err := s.runChat(ctx, account, call.Body, recorded); err != nil {
			return idempotency.Response{}, err
		}
		body, err := recorded.save()
		return idempotency.Response{Status: statusOK, Body: body}, err
	}, forward)
}

// follow passes a recording on while it grows. An answer that another try recorded is
// passed on when it has ended.
func follow(recorded *recording, ended <-chan chatEnd, sink Sink) error {
	passed := 0
	for {
		chunks, changed := recorded.from(passed)
		if sink.Streams() {
			if err := passOn(recorded, chunks, passed == 0, sink); err != nil {
				return err
			}
			passed += len(chunks)
		}
		select {
		case <-changed:
		case end := <-ended:
			return finishFollowing(recorded, passed, end, sink)
		}
	}
}

func passOn(recorded *recording, chunks []recordedChunk, first bool, sink Sink) error {
	if first && len(chunks) > 0 {
		sink.Start(recorded.id, recorded.model)
	}
	for _, c := range chunks {
		if err := sink.Chunk(c.cursor, c.Chunk); err != nil {
			return result.New(result.CallerGone, "the caller left: %v", err)
		}
	}
	return nil
}

func finishFollowing(recorded *recording, passed int, end chatEnd, sink Sink) error {
	chunks, _ := recorded.from(passed)
	if passed > 0 {
		if err := passOn(recorded, chunks, false, sink); err != nil {
			return err
		}
		return end.err
	}
	if end.err != nil {
		return end.err
	}
	return replay(end.answer.Body, sink)
}

// forwardChat returns the function that passes a completion on; nil without peers.
func (s *Server) forwardChat(account *operatorv1.Account, call ChatCall) idempotency.ForwardFunc {
	if s.Peers == nil {
		return nil
	}
	return func(ctx context.Context, owner string) (idempotency.Response, error) {
		s.Events.Record(event.CallForwarded, "account", account.GetName(), "key", call.IdempotencyKey, "to", owner)
		answer, err := s.Peers.Forward(ctx, owner, "", &fleetv1.CallForward{
			Account: account.GetName(), Method: chatMethod, Path: chatPath, Body: call.Body, Key: call.IdempotencyKey,
		})
		return idempotency.Response(answer), err
	}
}

// forwardedChat runs a completion that another node passed on, or returns its answer.
func (s *Server) forwardedChat(ctx context.Context, account *operatorv1.Account, f *fleetv1.CallForward) (upstream.CallResponse, error) {
	call := ChatCall{Body: f.GetBody(), IdempotencyKey: f.GetKey()}
	answer, err := s.doChat(ctx, account, call, newRecording(false), nil)
	return upstream.CallResponse(answer), err
}
