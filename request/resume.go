package request

import (
	"context"
	"io"

	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/config"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/upstream"
)

// ResumeCall is a request to resume a stream after the last event id that the caller got.
type ResumeCall struct {
	Key    string
	Cursor string
}

// resumeRun resumes a stream that another node began. It holds no reservation and settles
// nothing: the node that began the request, or the one that recovers it, settles it from the
// engine's own count. If this node billed too, the request would be billed twice.
type resumeRun struct {
	server *Server
	cursor *fleetv1.StreamCursor
	target *operatorv1.Upstream
	id     budget.RequestID
	sink   Sink

	started  bool
	position uint64
	order    upstream.ChunkOrder
	size     answerSize
	cursors  cursorIssuer
}

// ResumeChat writes the missing chunks of a stream to the sink. A nil error means that the
// answer is complete.
func (s *Server) ResumeChat(ctx context.Context, call ResumeCall, sink Sink) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx, done := s.untilNodeEnds(ctx)
	defer done()
	view := s.Config()
	account, err := s.authenticate(view, call.Key)
	if err != nil {
		return s.recordRefusal("", err)
	}
	cursor, err := s.openCursor(account.GetName(), call.Cursor)
	if err != nil {
		return s.recordRefusal(account.GetName(), err)
	}
	run, err := s.newResumeRun(view, cursor, sink)
	if err != nil {
		return s.recordRefusal(account.GetName(), err)
	}
	if err := s.refuseIfDraining(ctx, cursor.GetService()); err != nil {
		return s.recordRefusal(account.GetName(), result.From(err).WithMayHaveRun())
	}
	s.notifyStreamMoved(ctx, cursor)
	err = run.run(ctx)
	if err != nil && nodeEnds(ctx) {
		// The caller can read on through another node, so the engine isn't canceled.
		err = nodeEndsError()
		s.Events.Record(event.StreamLeft, "request", cursor.GetRequest(), "position", run.position, "why", err)
		return err
	}
	if err != nil && ctx.Err() != nil {
		run.cancel()
		return contextError(ctx)
	}
	return err
}

func (s *Server) newResumeRun(view *config.View, cursor *fleetv1.StreamCursor, sink Sink) (*resumeRun, error) {
	id, ok := budget.ParseRequestID(cursor.GetRequest())
	if !ok {
		return nil, result.New(result.InvalidCursor, "the event id names no request")
	}
	for _, target := range view.Upstreams(cursor.GetService()) {
		if target.GetName() == cursor.GetUpstream() && s.Resumer != nil {
			run := &resumeRun{server: s, cursor: cursor, target: target, id: id, sink: sink, position: cursor.GetNext(),
				order: upstream.ChunkOrder{UsageSeen: cursor.GetUsage()}, size: newServiceAnswerSize(view.Service(cursor.GetService()), cursor.GetNext())}
			run.cursors = cursorIssuer{signer: s.Cursors, cursor: fleetv1.StreamCursor{
				Request: cursor.GetRequest(), PeerAddress: cursor.GetPeerAddress(), Service: cursor.GetService(),
				Upstream: cursor.GetUpstream(), Account: cursor.GetAccount(), Usage: cursor.GetUsage(), Kept: cursor.GetKept(),
			}}
			return run, nil
		}
	}
	return nil, result.New(result.StreamLost, "engine %s is no longer declared", cursor.GetUpstream())
}

// notifyStreamMoved tells the node that settles the request that the caller reads on through
// this node, so that it doesn't take the closed connection for a caller that left. It doesn't
// wait for a reply, since that node may be dead.
func (s *Server) notifyStreamMoved(ctx context.Context, cursor *fleetv1.StreamCursor) {
	if cursor.GetPeerAddress() == s.PeerAddress {
		s.MoveStream(cursor.GetRequest())
		return
	}
	if s.Peers != nil {
		go s.Peers.MoveStream(context.WithoutCancel(ctx), cursor.GetPeerAddress(), cursor.GetRequest())
	}
}

func (r *resumeRun) run(ctx context.Context) error {
	r.server.Events.Record(event.StreamResumed, "request", r.cursor.GetRequest(), "upstream", r.target.GetName(), "from", r.position)
	retryBackoff := newRetryBackoff()
	for tries := 0; ; tries++ {
		before := r.position
		err := r.resumeOnce(ctx)
		if r.position > before {
			tries = 0
			retryBackoff.Reset()
		}
		if err == nil || tries == maxResumes || !isResumable(err) || r.size.isExceeded() || !r.server.sleep(ctx, retryBackoff.NextBackOff()) {
			return err
		}
	}
}

// isResumable reports whether the engine may send the rest if it is asked again soon.
func isResumable(err error) bool {
	if result.From(err).Pause > 0 {
		return false
	}
	switch result.CodeOf(err) {
	case result.AnswerCut, result.AnswerCrossed, result.UpstreamFailed, result.NoUpstream:
		return true
	}
	return false
}

func (r *resumeRun) resumeOnce(ctx context.Context) error {
	stream, err := r.server.Resumer.Resume(ctx, r.target, r.cursor.GetRequest(), r.position)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		ended := err == io.EOF
		switch {
		case ended:
			err = r.order.Complete()
		case err == nil:
			err = r.checkChunk(chunk)
		}
		if err != nil {
			r.server.recordRejected(r.cursor.GetRequest(), r.target, r.position, err)
			return err
		}
		if ended {
			r.ensureStarted()
			return nil
		}
		chunk.Number = r.position
		if err := r.deliver(ctx, chunk); err != nil {
			return err
		}
		r.position++
	}
}

// checkChunk returns an error if a chunk can't be the next one of the answer.
func (r *resumeRun) checkChunk(chunk upstream.Chunk) error {
	if err := r.order.Add(chunk); err != nil {
		return err
	}
	return r.size.add(chunk)
}

// recordRejected records that an upstream's response broke off, or had something in it that isn't its next chunk.
func (s *Server) recordRejected(request string, target *operatorv1.Upstream, position uint64, err error) {
	s.Events.Record(event.AnswerRejected, "request", request, "upstream", target.GetName(), "chunks", position, "why", err)
}

func (r *resumeRun) ensureStarted() {
	if !r.started {
		r.started = true
		r.sink.Start(r.id, "")
	}
}

func (r *resumeRun) deliver(ctx context.Context, chunk upstream.Chunk) error {
	if ctx.Err() != nil {
		return contextError(ctx)
	}
	r.ensureStarted()
	if err := r.sink.Chunk(r.cursors.issue(chunk, r.server.Clock.Now()), chunk); err != nil {
		r.cancel()
		return result.New(result.CallerGone, "the caller left: %v", err)
	}
	return nil
}

// cancel stops the engine when the caller left here too, unless the answer is recorded for
// retries with its key.
func (r *resumeRun) cancel() {
	if r.cursor.GetKept() {
		return
	}
	ctx, done := clockwork.WithTimeout(context.Background(), r.server.Clock, cancelTimeout)
	defer done()
	_ = r.server.Client.Cancel(ctx, r.target, r.cursor.GetRequest())
}
