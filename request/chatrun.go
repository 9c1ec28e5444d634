package request

import (
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/quarantine"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/routing"
	"lavenderpin.dev/lavenderpin/upstream"
)

// chatRun is a completion in progress.
type chatRun struct {
	server  *Server
	account *operatorv1.Account
	service *operatorv1.Service
	model   string
	body    []byte
	grant   budget.Grant
	bound   tokenBound
	// content identifies what the caller asks for over all of its attempts.
	content quarantine.ID
	// permit is the right to send it.
	permit *quarantine.Permit
	// parts are the parts of the prompt that other requests may share, partIDs identify them.
	parts   []quarantine.Part
	partIDs []quarantine.ID
	// trial is set if the completion is sent once to learn whether a blocked part still crashes upstreams.
	trial bool
	// sentAt is when the last attempt was sent.
	sentAt time.Duration
	// othersTold is closed once the other nodes know which upstream crashed under the completion last; nil if none did.
	othersTold <-chan struct{}
	// reserved is how many tokens the grant covers.
	reserved uint64
	sink     Sink
	caller   callerTracker

	started bool
	// mayHaveRun is set once an engine may have run the completion.
	mayHaveRun bool
	usage      upstream.Usage
	// prompt is the routing input of the request.
	prompt routing.Request
	pick   routing.PickResult
	// target is the upstream that may run the completion now; nil before the first attempt and
	// after a refusal.
	target *operatorv1.Upstream
	// version is the version of the software of the upstream that began the answer.
	version string
	// deliveredHashes holds the hash of each delivered chunk, indexed by chunk number.
	deliveredHashes []uint64
	// contentChunks is how many delivered chunks have content.
	contentChunks uint64
	// order and size check the chunks of the present engine's answer, over all responses in which it came.
	order   upstream.ChunkOrder
	size    answerSize
	cursors cursorIssuer
}

// run sends the completion, delivers the answer and settles the request.
func (r *chatRun) run(callerCtx context.Context) error {
	id := r.grant.Request().String()
	if !r.isRecorded() {
		r.server.streams.Store(id, r)
		defer r.server.streams.Delete(id)
	}
	ctx, stop := context.WithCancel(context.WithoutCancel(callerCtx))
	defer stop()
	defer context.AfterFunc(callerCtx, func() {
		if r.caller.markLeft() {
			stop()
		}
	})()
	settled := false
	defer func() {
		// Reached without settling only on a panic. The reservation would stay open and
		// keep its tokens from the account until this node ends.
		if !settled {
			r.settle(result.New(result.InternalError, "a defect in this node"))
		}
	}()
	err := r.attempts(ctx)
	if err == nil {
		r.server.Quarantine.Answered(r.content)
	} else {
		quarantine.AwaitTold(ctx, r.othersTold)
	}
	if err != nil && ctx.Err() != nil {
		err = contextError(callerCtx)
		if nodeEnds(callerCtx) && !r.mayHaveRun {
			err = drain.Refusal()
		}
	}
	settled = true
	r.settle(err)
	if err == nil && r.caller.hasMoved() {
		// The old connection lacks the chunks that were read through the other node. If it
		// ended as complete, the caller would see an answer with a gap.
		return result.New(result.CallerGone, "the caller reads on at another node")
	}
	return err
}

// isRecorded reports whether the answer is recorded for retries with its key. Such a
// completion continues even if nobody reads it.
func (r *chatRun) isRecorded() bool {
	_, recorded := r.sink.(*recording)
	return recorded
}

// attempts tries engines until one gives a complete answer.
func (r *chatRun) attempts(ctx context.Context) error {
	waits := newWaits()
	retryBackoff := newRetryBackoff()
	var last error
	takesRetry := false
	r.permit = r.server.Quarantine.NewPermit(r.grant.Request().String(), r.content)
	defer r.permit.End()
	for n := range maxAttempts {
		if err := r.server.refuseIfCrashing(r.content); err != nil {
			return err
		}
		if err := r.server.awaitPermit(ctx, r.permit); err != nil {
			return mergeAttemptErrors(last, err)
		}
		if err := r.refuseIfBlocked(); err != nil {
			return err
		}
		if r.mayHaveRun && (r.trial || !r.server.Quarantine.MaySendAgain(r.partIDs)) {
			return last
		}
		if n > 0 && !r.server.acquireRetry(ctx, takesRetry, r.grant.Request().String(), r.service.GetName(), r.prompt.Deadline, retryBackoff) {
			return last
		}
		r.prompt.SoftwareVersion = r.requiredVersion()
		pick, err := r.server.pick(ctx, r.prompt, waits)
		if err != nil {
			return pickError(last, err)
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
		last = mergeAttemptErrors(last, err)
		takesRetry = takesRetry || result.From(err).TakesRetry()
		if !canRetryElsewhere(err) {
			return last
		}
		waits.recordFailure(pick.Upstream, err)
		if r.target != nil {
			go r.cancel(r.target)
		}
	}
	return last
}

// consume reads a stream's chunks and returns the number of the next expected chunk.
func (r *chatRun) consume(ctx context.Context, stream upstream.ChatStream, position uint64) (uint64, error) {
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
			r.server.recordRejected(r.grant.Request().String(), r.target, position, err)
			return position, err
		}
		if ended {
			return position, r.checkComplete(position)
		}
		if r.pick.FirstToken(); position == 0 {
			r.server.Quarantine.AnswerBegun(r.partIDs)
			r.server.lives.answered(r.target.GetName())
		}
		chunk.Number = position
		if err := r.handleChunk(ctx, chunk); err != nil {
			return position, err
		}
		position++
	}
}

// checkChunk returns an error if a chunk can't be the next one of the answer.
func (r *chatRun) checkChunk(chunk upstream.Chunk) error {
	if err := r.order.Add(chunk); err != nil {
		return err
	}
	return r.size.add(chunk)
}

// checkComplete checks the end of an answer that another engine began. An answer shorter
// than the delivered part is a different answer.
func (r *chatRun) checkComplete(position uint64) error {
	if position < uint64(len(r.deliveredHashes)) {
		return r.mismatchError(position)
	}
	return nil
}

func (r *chatRun) mismatchError(number uint64) error {
	return result.New(result.AnswerDiffers, "%s differs at chunk %d from what was delivered", r.target.GetName(), number)
}

func (r *chatRun) handleChunk(ctx context.Context, chunk upstream.Chunk) error {
	if ctx.Err() != nil {
		return result.New(result.CallerGone, "the request was given up")
	}
	if chunk.Usage != nil {
		r.usage = *chunk.Usage
	}
	sum := xxhash.Sum64String(chunk.Content) ^ xxhash.Sum64String(chunk.FinishReason)
	if chunk.Number < uint64(len(r.deliveredHashes)) {
		if r.deliveredHashes[chunk.Number] != sum {
			return r.mismatchError(chunk.Number)
		}
		return nil
	}
	if err := r.deliver(chunk); err != nil {
		return err
	}
	r.deliveredHashes = append(r.deliveredHashes, sum)
	if chunk.Content != "" {
		r.contentChunks++
		r.grant.Progress(r.contentChunks)
	}
	return nil
}

func (r *chatRun) deliver(chunk upstream.Chunk) error {
	if !r.started {
		r.started = true
		r.sink.Start(r.grant.Request(), r.model)
	}
	if r.caller.hasMoved() {
		return nil
	}
	cursor := ""
	if r.sink.Streams() {
		cursor = r.cursors.issue(chunk, r.server.Clock.Now())
	}
	if err := r.sink.Chunk(cursor, chunk); err != nil && r.caller.markLeft() {
		return result.New(result.CallerGone, "the caller left: %v", err)
	}
	return nil
}

// cancel stops the engine's work on the request. Otherwise the engine would keep generating
// for nobody, which shows as occupied slots without answers.
func (r *chatRun) cancel(target *operatorv1.Upstream) {
	ctx, done := clockwork.WithTimeout(context.Background(), r.server.Clock, cancelTimeout)
	defer done()
	_ = r.server.Client.Cancel(ctx, target, r.grant.Request().String())
}

// settle bills the request once, by the rules in docs/operators/billing-rules.md.
func (r *chatRun) settle(err error) {
	id := r.grant.Request()
	switch {
	case err == nil:
		r.grant.Finish(r.usage.Total())
		r.checkTokenBound(r.usage)
		r.server.Events.Record(event.RequestFinished, "request", id, "tokens", r.usage.Total())
	case isAbandoned(err) || r.caller.hasMoved():
		used := r.cancelAndCount()
		tokens := used.Total()
		r.grant.Finish(tokens)
		r.checkTokenBound(used)
		r.server.Events.Record(event.CallerLeft, "request", id, "tokens", tokens)
	default:
		r.grant.Finish(0)
		r.server.Events.Record(event.RequestFailed, "request", id, "code", uint32(result.CodeOf(err)), "why", err)
		switch {
		case r.target == nil:
		case result.CodeOf(err) == result.Draining:
			r.cancel(r.target) // a goroutine might not run before the process ends
		default:
			go r.cancel(r.target)
		}
	}
}

// cancelAndCount cancels the completion and returns the engine's token count, or the number
// of delivered content chunks if the engine reports none.
func (r *chatRun) cancelAndCount() upstream.Usage {
	if r.target == nil {
		return upstream.Usage{CompletionTokens: r.contentChunks}
	}
	r.cancel(r.target)
	ctx, done := clockwork.WithTimeout(context.Background(), r.server.Clock, cancelTimeout)
	defer done()
	report, err := r.server.Client.Usage(ctx, r.target, r.grant.Request().String())
	if err != nil || report.State == upstream.UsageUnknown {
		return upstream.Usage{CompletionTokens: r.contentChunks}
	}
	return report.Usage
}

// MoveStream records that the caller of a completion on this node now reads it through
// another node. It returns false if the completion isn't here or its caller already left.
func (s *Server) MoveStream(request string) bool {
	value, found := s.streams.Load(request)
	if !found || !value.(*chatRun).caller.markMoved() {
		return false
	}
	s.Events.Record(event.StreamMoved, "request", request)
	return true
}
