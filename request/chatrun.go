package request

import (
	"context"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/upstream"
)

// chatRun is one completion on its way.
type chatRun struct {
	server  *Server
	account *operatorv1.Account
	service *operatorv1.Service
	model   string
	body    []byte
	grant   budget.Grant
	bound   tokenBound
	// reserved is how many tokens the grant covers.
	reserved uint64
	sink     Sink
	reader   reader

	started bool
	usage   upstream.Usage
	// prompt is what the picker needs to know of the prompt.
	prompt routing.Request
	pick   routing.PickResult
	// to is the upstream that runs the completion now; nil before the first.
	to *operatorv1.Upstream
	// passed holds a hash of each chunk that reached the caller, by its number.
	passed []uint64
	// delivered counts the chunks with content among them.
	delivered uint64
	cursors   cursorMaker
}

// run sends the completion, passes the answer on and settles.
func (r *chatRun) run(caller context.Context) error {
	id := r.grant.Request().String()
	if !r.kept() {
		r.server.streams.Store(id, r)
		defer r.server.streams.Delete(id)
	}
	ctx, stop := context.WithCancel(context.WithoutCancel(caller))
	defer stop()
	defer context.AfterFunc(caller, func() {
		if r.reader.leave() {
			stop()
		}
	})()
	settled := false
	defer func() {
		// A panic passes through here. Unsettled, the reservation would stay open
		// and keep its tokens from the account until this node ends.
		if !settled {
			r.settle(result.New(result.InternalError, "a defect in this node"))
		}
	}()
	err := r.attempts(ctx)
	if err != nil && ctx.Err() != nil {
		err = leftError(caller)
	}
	settled = true
	r.settle(err)
	if err == nil && r.reader.hasMoved() {
		// The old connection lacks the chunks that went elsewhere: ended as whole,
		// it would show a caller an answer with a hole.
		return result.New(result.CallerGone, "the caller reads on at another node")
	}
	return err
}

// kept tells that the answer is recorded for retries by key: it goes on whoever reads.
func (r *chatRun) kept() bool {
	_, kept := r.sink.(*recording)
	return kept
}

// attempts tries engines until one answers whole.
func (r *chatRun) attempts(ctx context.Context) error {
	tried := map[string]bool{}
	pause := newPause()
	var last error
	for n := range maxAttempts {
		if n > 0 && !r.server.mayRetry(ctx, r.grant.Request().String(), pause) {
			return last
		}
		pick, err := r.server.Picker.Pick(r.ask(tried), r.server.upstreams(r.service.GetName()))
		if err != nil {
			return firstError(last, err)
		}
		r.pick = pick
		err = r.attempt(ctx, pick.Upstream)
		if err != nil && ctx.Err() != nil {
			err = result.New(result.CallerGone, "the request was given up")
		}
		pick.Done(err)
		if err == nil {
			return nil
		}
		last = ofBoth(last, err)
		if !worthAnother(err) {
			return last
		}
		tried[pick.Upstream.GetName()] = true
		go r.cancel(pick.Upstream)
	}
	return last
}

// worthAnother tells that another engine may answer.
func worthAnother(err error) bool {
	switch result.CodeOf(err) {
	case result.NoUpstream, result.UpstreamFailed, result.AnswerCut, result.AnswerCrossed, result.StreamLost,
		result.UpstreamSilent, result.RequestExpired:
		return true
	}
	return false
}

// attempt lets one engine answer. When its stream breaks off, the engine is asked
// for the rest first: that costs it nothing, while another would start anew.
func (r *chatRun) attempt(ctx context.Context, to *operatorv1.Upstream) error {
	id := r.grant.Request()
	if err := r.grant.Dispatch(ctx, to.GetName()); err != nil {
		return err
	}
	r.server.Events.Record(event.RequestDispatched, "request", id, "upstream", to.GetName())
	r.begin(to)
	stream, err := r.server.Client.Chat(ctx, to, upstream.ChatRequest{ID: id.String(), Body: r.body, NotAfter: r.grant.NotAfter()})
	if err != nil {
		return err
	}
	position, err := r.consume(ctx, stream, 0)
	return r.readOn(ctx, position, err)
}

// readOn asks the engine for the rest of a stream that broke off, as long as that
// brings the answer on.
func (r *chatRun) readOn(ctx context.Context, position uint64, err error) error {
	pause := newPause()
	for tries := 0; err != nil && tries < maxResumes && position > 0 && r.mayResume(err); tries++ {
		if !r.server.sleep(ctx, pause.NextBackOff()) {
			return err
		}
		stream, failed := r.server.Resumer.Resume(ctx, r.to, r.grant.Request().String(), position)
		if failed != nil {
			// An engine out of reach by now proves nothing of what it ran before.
			// Passed on alone, that error would tell the caller "not run".
			err = ofBoth(err, failed)
			if result.CodeOf(failed) == result.NoUpstream {
				return err
			}
			continue
		}
		before := position
		position, err = r.consume(ctx, stream, position)
		if position > before {
			tries = 0
			pause.Reset()
		}
	}
	return err
}

func (r *chatRun) mayResume(err error) bool {
	if r.server.Resumer == nil {
		return false
	}
	code := result.CodeOf(err)
	return code == result.AnswerCut || code == result.AnswerCrossed || code == result.UpstreamFailed
}

// begin prepares for the answer of an engine. An answer that hasn't reached the
// caller yet begins anew; one that has is matched against what it got.
func (r *chatRun) begin(to *operatorv1.Upstream) {
	if r.started && !r.sink.Streams() {
		r.sink.Restart()
		r.passed = r.passed[:0]
		r.delivered = 0
	}
	if len(r.passed) > 0 {
		r.server.Events.Record(event.AnswerRerun, "request", r.grant.Request(), "upstream", to.GetName(), "matched", len(r.passed))
	}
	r.to = to
	r.cursors = cursorMaker{signer: r.server.Cursors, cursor: fleetv1.StreamCursor{
		Request: r.grant.Request().String(), PeerAddress: r.server.PeerAddress,
		Service: r.service.GetName(), Upstream: to.GetName(), Account: r.account.GetName(), Kept: r.kept(),
	}}
}

// consume takes a stream's chunks; it returns the number of the chunk that should
// come next.
func (r *chatRun) consume(ctx context.Context, stream upstream.ChatStream, position uint64) (uint64, error) {
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			return position, r.whole(position)
		}
		if err != nil {
			r.server.Events.Record(event.AnswerRejected, "request", r.grant.Request(), "upstream", r.to.GetName(), "why", err)
			return position, err
		}
		r.pick.FirstToken()
		chunk.Number = position
		if err := r.take(ctx, chunk); err != nil {
			return position, err
		}
		position++
	}
}

// whole checks the end of an answer that another engine began: one that ends before
// the delivered part does isn't the same answer.
func (r *chatRun) whole(position uint64) error {
	if position < uint64(len(r.passed)) {
		return r.differs(position)
	}
	return nil
}

func (r *chatRun) differs(at uint64) error {
	return result.New(result.AnswerDiffers, "%s differs at chunk %d from what was delivered", r.to.GetName(), at)
}

func (r *chatRun) take(ctx context.Context, chunk upstream.Chunk) error {
	if ctx.Err() != nil {
		return result.New(result.CallerGone, "the request was given up")
	}
	if chunk.Usage != nil {
		r.usage = *chunk.Usage
	}
	sum := xxhash.Sum64String(chunk.Content) ^ xxhash.Sum64String(chunk.FinishReason)
	if chunk.Number < uint64(len(r.passed)) {
		if r.passed[chunk.Number] != sum {
			return r.differs(chunk.Number)
		}
		return nil
	}
	if err := r.pass(chunk); err != nil {
		return err
	}
	r.passed = append(r.passed, sum)
	if chunk.Content != "" {
		r.delivered++
		r.grant.Progress(r.delivered)
	}
	return nil
}

func (r *chatRun) pass(chunk upstream.Chunk) error {
	if !r.started {
		r.started = true
		r.sink.Start(r.grant.Request(), r.model)
	}
	if r.reader.hasMoved() {
		return nil
	}
	cursor := ""
	if r.sink.Streams() {
		cursor = r.cursors.after(chunk, r.server.Clock.Now())
	}
	if err := r.sink.Chunk(cursor, chunk); err != nil && r.reader.leave() {
		return result.New(result.CallerGone, "the caller left: %v", err)
	}
	return nil
}

// cancel stops an engine's work on the request. Without it an engine would go on
// generating for nobody, which shows as slots in use without answers.
func (r *chatRun) cancel(to *operatorv1.Upstream) {
	ctx, done := clockwork.WithTimeout(context.Background(), r.server.Clock, cancelTimeout)
	defer done()
	_ = r.server.Client.Cancel(ctx, to, r.grant.Request().String())
}

// settle bills the request once, by the rules in docs/operators/billing-rules.md.
func (r *chatRun) settle(err error) {
	id := r.grant.Request()
	switch {
	case err == nil:
		r.grant.Finish(r.usage.Total())
		r.checkBound(r.usage)
		r.server.Events.Record(event.RequestFinished, "request", id, "tokens", r.usage.Total())
	case isLeft(err) || r.reader.hasMoved():
		used := r.stopAndCount()
		tokens := used.Total()
		r.grant.Finish(tokens)
		r.checkBound(used)
		r.server.Events.Record(event.CallerLeft, "request", id, "tokens", tokens)
	default:
		if r.to != nil {
			go r.cancel(r.to)
		}
		r.grant.Finish(0)
		r.server.Events.Record(event.RequestFailed, "request", id, "code", uint32(result.CodeOf(err)), "why", err)
	}
}

// stopAndCount cancels the completion and returns what the engine had counted by
// then, or what was delivered when the engine doesn't tell.
func (r *chatRun) stopAndCount() upstream.Usage {
	if r.to == nil {
		return upstream.Usage{}
	}
	r.cancel(r.to)
	ctx, done := clockwork.WithTimeout(context.Background(), r.server.Clock, cancelTimeout)
	defer done()
	report, err := r.server.Client.Usage(ctx, r.to, r.grant.Request().String())
	if err != nil || report.State == upstream.UsageUnknown {
		return upstream.Usage{CompletionTokens: r.delivered}
	}
	return report.Usage
}

// MoveStream notes that the caller of a completion on this node reads on at another
// one; false when the completion isn't here or its caller had left before.
func (s *Server) MoveStream(request string) bool {
	held, here := s.streams.Load(request)
	if !here || !held.(*chatRun).reader.move() {
		return false
	}
	s.Events.Record(event.StreamMoved, "request", request)
	return true
}
