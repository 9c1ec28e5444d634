package request

import (
	"context"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// canRetryElsewhere reports whether another engine may answer.
func canRetryElsewhere(err error) bool {
	switch result.CodeOf(err) {
	case result.NoUpstream, result.UpstreamFailed, result.AnswerCut, result.AnswerCrossed, result.StreamLost,
		result.UpstreamSilent, result.RequestExpired, result.VersionMissing, result.SentElsewhere:
		return true
	}
	return false
}

// attempt runs the completion on one engine. If its stream breaks off, it first asks the
// same engine for the rest: that costs no new tokens, while another engine would start over.
func (r *chatRun) attempt(ctx context.Context, target *operatorv1.Upstream) error {
	id := r.grant.Request()
	if err := r.grant.Dispatch(ctx, target.GetName()); err != nil {
		return err
	}
	if !r.permit.Begin() {
		return errSentElsewhere()
	}
	defer r.permit.End()
	r.server.recordDispatch(id.String(), target.GetName(), r.permit)
	r.beginAnswer(target)
	r.sentAt = r.server.Quarantine.Now()
	stream, err := r.server.Client.Chat(ctx, target, upstream.ChatRequest{ID: id.String(), Body: r.body, NotAfter: r.grant.NotAfter()})
	r.mayHaveRun = r.mayHaveRun || err == nil || !result.From(err).NotRun()
	if err != nil {
		r.recordCrash(ctx, false, false, err)
		if result.From(err).Pause > 0 {
			r.target = nil // it refused the request, so there is nothing to cancel during its pause
		}
		return err
	}
	if err := r.checkVersion(stream); err != nil {
		return err
	}
	position, failure := r.consume(ctx, stream, 0)
	if failure == nil {
		return nil
	}
	err = r.resumeAnswer(ctx, position, failure)
	if err != nil {
		r.recordCrash(ctx, true, position > 0, failure)
	}
	return err
}

// resumeAnswer asks the engine for the rest of an interrupted stream, as long as that makes
// progress.
func (r *chatRun) resumeAnswer(ctx context.Context, position uint64, err error) error {
	retryBackoff := newRetryBackoff()
	for tries := 0; err != nil && tries < maxResumes && position > 0 && r.canResume(err); tries++ {
		if !r.server.sleep(ctx, retryBackoff.NextBackOff()) {
			return err
		}
		stream, resumeErr := r.server.Resumer.Resume(ctx, r.target, r.grant.Request().String(), position)
		if resumeErr != nil {
			// That the engine is unreachable now says nothing about what it ran before. On
			// its own, this error would tell the caller "not run".
			err = mergeAttemptErrors(err, resumeErr)
			if result.CodeOf(resumeErr) == result.NoUpstream {
				return err
			}
			continue
		}
		if err := r.checkVersion(stream); err != nil {
			return err
		}
		before := position
		position, err = r.consume(ctx, stream, position)
		if position > before {
			tries = 0
			retryBackoff.Reset()
		}
	}
	return err
}

func (r *chatRun) canResume(err error) bool {
	if r.server.Resumer == nil || r.size.isExceeded() {
		return false
	}
	code := result.CodeOf(err)
	return code == result.AnswerCut || code == result.AnswerCrossed || code == result.UpstreamFailed
}

// beginAnswer prepares for the answer of an engine. An answer of which the caller has seen
// nothing starts over; otherwise the new answer is compared with what was delivered.
func (r *chatRun) beginAnswer(target *operatorv1.Upstream) {
	if r.started && !r.sink.Streams() {
		r.sink.Restart()
		r.deliveredHashes = r.deliveredHashes[:0]
		r.contentChunks = 0
	}
	if len(r.deliveredHashes) > 0 {
		r.server.Events.Record(event.AnswerRerun, "request", r.grant.Request(), "upstream", target.GetName(), "matched", len(r.deliveredHashes))
	}
	r.target = target
	r.order, r.size = upstream.ChunkOrder{}, newAnswerSize(uint64(r.prompt.AnswerTokens))
	r.cursors = cursorIssuer{signer: r.server.Cursors, cursor: fleetv1.StreamCursor{
		Request: r.grant.Request().String(), PeerAddress: r.server.PeerAddress,
		Service: r.service.GetName(), Upstream: target.GetName(), Account: r.account.GetName(), Kept: r.isRecorded(),
	}}
}
