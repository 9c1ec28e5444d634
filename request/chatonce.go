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

// chatOnce runs a completion with an idempotency key: sent again, to any node, it is neither
// run nor billed a second time. It continues when its caller disconnects, since a caller
// with a key comes back for the answer.
func (s *Server) chatOnce(ctx context.Context, call ChatCall, sink Sink) error {
	account, err := s.authenticate(s.Config(), call.Key)
	if err != nil {
		return result.From(s.recordRefusal("", err)).WithMayHaveRun()
	}
	if err := s.validateKeyOrTicket(call.asServiceCall()); err != nil {
		return s.recordRefusal(account.GetName(), err)
	}
	rec := newRecording(sink.Streams())
	outcome := make(chan chatOutcome, 1)
	go func() {
		response, err := s.runKeyedChat(ctx, account, call, rec, s.chatForwarder(account, call))
		outcome <- chatOutcome{response, err}
	}()
	return followRecording(rec, outcome, sink)
}

// chatOutcome is the result of a completion with an idempotency key.
type chatOutcome struct {
	response idempotency.Response
	err      error
}

// asServiceCall returns the completion as a call with an empty service name.
func (c ChatCall) asServiceCall() ServiceCall {
	return ServiceCall{Method: chatMethod, Path: chatPath, Body: c.Body, IdempotencyKey: c.IdempotencyKey}
}

func (s *Server) runKeyedChat(ctx context.Context, account *operatorv1.Account, call ChatCall, recorded *recording, forward idempotency.ForwardFunc) (idempotency.Response, error) {
	keyedCall := idempotency.Call{
		ID:     idempotency.ID{Account: account.GetName(), Key: call.IdempotencyKey},
		Digest: callDigest(call.asServiceCall()),
	}
	if err := s.refuseKeyedChatIfDraining(ctx, keyedCall.ID, call.Body); err != nil {
		return idempotency.Response{}, err
	}
	return s.Runner.Do(ctx, keyedCall, func(ctx context.Context) (idempotency.Response, error) {
		ctx, done := s.untilNodeEnds(ctx)
		defer done()
		if err := s.runChat(ctx, account, call.Body, recorded); err != nil {
			return idempotency.Response{}, err
		}
		body, err := recorded.encode()
		return idempotency.Response{Status: statusOK, Body: body}, err
	}, forward)
}

// refuseKeyedChatIfDraining is refuseKeyIfDraining for a completion. One without a service is
// rejected later.
func (s *Server) refuseKeyedChatIfDraining(ctx context.Context, id idempotency.ID, raw []byte) error {
	if s.drainState.Load() == nil {
		return nil
	}
	body, err := parseChat(raw)
	if err != nil {
		return nil
	}
	service := s.Config().ServiceByModel(body.Model)
	if service == nil {
		return nil
	}
	return s.refuseKeyIfDraining(ctx, id, service.GetName())
}

// followRecording writes a recording to the sink while it grows. An answer that another try
// recorded is written when it is complete.
func followRecording(recorded *recording, outcome <-chan chatOutcome, sink Sink) error {
	delivered := 0
	for {
		chunks, changed := recorded.chunksFrom(delivered)
		if sink.Streams() {
			if err := deliverChunks(recorded, chunks, delivered == 0, sink); err != nil {
				return err
			}
			delivered += len(chunks)
		}
		select {
		case <-changed:
		case end := <-outcome:
			return finishFollowing(recorded, delivered, end, sink)
		}
	}
}

func deliverChunks(recorded *recording, chunks []recordedChunk, first bool, sink Sink) error {
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

func finishFollowing(recorded *recording, delivered int, outcome chatOutcome, sink Sink) error {
	chunks, _ := recorded.chunksFrom(delivered)
	if delivered > 0 {
		if err := deliverChunks(recorded, chunks, false, sink); err != nil {
			return err
		}
		return outcome.err
	}
	if outcome.err != nil {
		return outcome.err
	}
	return replay(outcome.response.Body, sink)
}

// chatForwarder returns the function that forwards a completion to its owner; nil without
// peers.
func (s *Server) chatForwarder(account *operatorv1.Account, call ChatCall) idempotency.ForwardFunc {
	if s.Peers == nil {
		return nil
	}
	return func(ctx context.Context, owner string) (idempotency.Response, error) {
		s.Events.Record(event.CallForwarded, "account", account.GetName(), "key", call.IdempotencyKey, "to", owner)
		response, err := s.Peers.Forward(ctx, owner, "", &fleetv1.CallForward{
			Account: account.GetName(), Method: chatMethod, Path: chatPath, Body: call.Body, Key: call.IdempotencyKey,
		})
		return idempotency.Response(response), err
	}
}

// forwardedChat runs a completion that another node forwarded, or returns its saved answer.
func (s *Server) forwardedChat(ctx context.Context, account *operatorv1.Account, f *fleetv1.CallForward) (upstream.CallResponse, error) {
	call := ChatCall{Body: f.GetBody(), IdempotencyKey: f.GetKey()}
	response, err := s.runKeyedChat(ctx, account, call, newRecording(false), nil)
	return upstream.CallResponse(response), err
}
