package idempotency

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/recordlog"
	"lavenderpin.dev/lavenderpin/result"
)

const (
	// claimTimeout bounds how long a call waits for its claim to be read back from the log.
	claimTimeout = 2 * time.Second
	// retryAfter is when a caller should ask again about a call in progress.
	retryAfter = time.Second
	// maxResponseBytes bounds the memory used by cached responses.
	maxResponseBytes = 64 << 20
	// maxClaimAttempts bounds how often a call starts over after its claim was dropped.
	maxClaimAttempts = 3
)

// Submitter queues an entry for the log. recordlog.Writer implements it.
type Submitter interface {
	Submit(entry *recordv1.Entry) *recordlog.Ticket
}

// Options holds the dependencies of a Runner.
type Options struct {
	// Incarnation is the name of this node's incarnation.
	Incarnation string
	Claims      *Claims
	Log         Submitter
	// IsOpen reports whether an incarnation may still run calls.
	IsOpen func(incarnation string) bool
	Clock  clockwork.Clock
	Events *event.Recorder
}

// Runner runs calls at most once. It is safe for concurrent use.
type Runner struct {
	Options
	stopped     chan struct{}
	stopOnce    sync.Once
	activeCalls atomic.Int64

	mu             sync.Mutex
	calls          map[ID]*callEntry
	tickets        map[uint64]*callEntry
	pruneThreshold int
	responses      responseCache
}

// NewRunner returns a runner without any calls.
func NewRunner(options Options) *Runner {
	return &Runner{Options: options, stopped: make(chan struct{}),
		calls: map[ID]*callEntry{}, tickets: map[uint64]*callEntry{}, pruneThreshold: minPruneThreshold, responses: responseCache{maxBytes: maxResponseBytes}}
}

// Stop ends all waits for entries that haven't been read back from the log. Running
// calls continue.
func (r *Runner) Stop() { r.stopOnce.Do(func() { close(r.stopped) }) }

// Active returns the number of running calls. A call counts until its outcome has been
// submitted to the log: a graceful shutdown before that would leave the outcome unknown.
func (r *Runner) Active() int64 { return r.activeCalls.Load() }

// Holds reports whether this node owns a call or is claiming it.
func (r *Runner) Holds(id ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[id] != nil
}

// Do runs a call under its key, or returns its result. forward is nil if another node
// forwarded the call to this one: two nodes that each take the other for the owner would
// otherwise forward it back and forth.
func (r *Runner) Do(ctx context.Context, call Call, run RunFunc, forward ForwardFunc) (Response, error) {
	for range maxClaimAttempts {
		entry, err := r.join(call)
		if err != nil {
			return Response{}, err
		}
		if entry == nil {
			return r.resolveRemote(ctx, call, forward)
		}
		response, retry, err := r.await(ctx, entry, run)
		if !retry {
			return response, err
		}
	}
	return Response{}, result.New(result.CallInProgress, "the key is being claimed").WithRetryAfter(retryAfter)
}

// await waits for a call to finish, and runs it if it is ready. retry reports that the
// claim was dropped and that the caller should start over.
func (r *Runner) await(ctx context.Context, entry *callEntry, run RunFunc) (response Response, retry bool, err error) {
	claimDeadline := r.Clock.After(claimTimeout)
	for {
		r.mu.Lock()
		switch entry.phase {
		case done:
			defer r.mu.Unlock()
			entry.waiters--
			return entry.response, false, entry.err
		case dropped:
			defer r.mu.Unlock()
			entry.waiters--
			return Response{}, !isPermanentRefusal(entry.err), entry.err
		case ready:
			if ctx.Err() == nil {
				r.start(ctx, entry, run)
			}
		}
		changed, waitsForClaim := entry.changed, entry.phase == claiming
		r.mu.Unlock()
		var timeout <-chan time.Time
		if waitsForClaim {
			timeout = claimDeadline
		}
		select {
		case <-changed:
		case <-timeout:
			response, err = r.abandon(entry)
			return response, false, err
		case <-ctx.Done():
			response, err = r.abandon(entry)
			return response, false, err
		}
	}
}

// abandon ends a caller's wait. An attempt that ends before its claim was read back has
// not run and never will, but an earlier attempt with the key may have run on a node
// whose claim this one hasn't read, so the code doesn't say "not run".
func (r *Runner) abandon(entry *callEntry) (Response, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.waiters--
	switch entry.phase {
	case claiming:
		if entry.waiters == 0 && entry.claim != nil && entry.claim.Withdraw() {
			r.drop(entry, dropped)
		}
		return Response{}, result.New(result.KeyNotClaimed, "the log doesn't confirm the key; this try was not run, an earlier one with the key may have been").WithRetryAfter(retryAfter)
	case done:
		return entry.response, entry.err
	case ready:
		// A ticket has no claim in the log to release.
		if entry.waiters == 0 && !entry.isTicket() {
			r.release(entry)
		}
		return Response{}, result.New(result.CallerGone, "the caller left before the call was run")
	}
	return Response{}, result.New(result.CallInProgress, "the call runs; ask again with the same key or ticket").WithRetryAfter(retryAfter)
}

// start runs a ready call independently of its caller: a caller that disconnects must
// find the response when it retries, and a call that was sent can't be cancelled.
func (r *Runner) start(ctx context.Context, entry *callEntry, run RunFunc) {
	entry.setPhase(running)
	r.activeCalls.Add(1)
	go func() {
		defer r.activeCalls.Add(-1)
		response, err := r.runRecovering(context.WithoutCancel(ctx), run)
		r.finish(entry, response, err)
	}()
}

// runRecovering converts a panic into an unknown outcome. An unrecovered panic would end
// the node with all its other calls and streams.
func (r *Runner) runRecovering(ctx context.Context, run RunFunc) (response Response, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			r.Events.Record(event.PanicRecovered, "why", fmt.Sprint(recovered))
			err = result.New(result.OutcomeUnknown, "a defect in this node")
		}
	}()
	return run(ctx)
}

// resolveRemote returns the result of a call that this node has no entry for.
func (r *Runner) resolveRemote(ctx context.Context, call Call, forward ForwardFunc) (Response, error) {
	claim, known := r.Claims.Get(call.ID)
	switch {
	case !known:
		return Response{}, result.New(result.CallInProgress, "the key is being given up").WithRetryAfter(retryAfter)
	case claim.Digest != string(call.Digest[:]):
		return Response{}, keyReusedError(call.ID.Key)
	case claim.Owner != r.Incarnation && r.IsOpen(claim.Owner) && forward != nil:
		return forward(ctx, claim.Owner)
	case claim.Owner != r.Incarnation && r.IsOpen(claim.Owner):
		return Response{}, result.New(result.CallInProgress, "another node owns the key").WithRetryAfter(retryAfter)
	case claim.End == recordv1.CallEnd_CALL_END_RAN:
		return Response{}, result.New(result.AlreadyRan, "the call ran and was answered with status %d; its answer is no longer held", claim.Status)
	}
	return Response{}, result.New(result.OutcomeUnknown, "the node that may have run the call is gone; it will not be run again")
}
