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
	// claimWait bounds how long a call waits for its claim to be read back.
	claimWait = 2 * time.Second
	// comeBack is when a caller should ask again about a call that runs.
	comeBack = time.Second
	// maxAnswers bounds the answers held, in bytes.
	maxAnswers = 64 << 20
	// startOver bounds how often a call begins anew after its claim was given up.
	startOver = 3
)

// Submitter queues an entry for the log; recordlog.Writer is one.
type Submitter interface {
	Submit(entry *recordv1.Entry) *recordlog.Ticket
}

// Options is what a Runner works with.
type Options struct {
	// Incarnation of this node.
	Incarnation string
	Claims      *Claims
	Log         Submitter
	// IsOpen tells whether an incarnation may still run calls.
	IsOpen func(incarnation string) bool
	Clock  clockwork.Clock
	Events *event.Recorder
}

// Runner runs calls at most once. It is safe for concurrent use.
type Runner struct {
	Options
	stopped chan struct{}
	once    sync.Once
	active  atomic.Int64

	mu      sync.Mutex
	held    map[ID]*heldCall
	tickets map[uint64]*heldCall
	prune   int
	answers answerQueue
}

// NewRunner returns a runner that holds nothing.
func NewRunner(options Options) *Runner {
	return &Runner{Options: options, stopped: make(chan struct{}),
		held: map[ID]*heldCall{}, tickets: map[uint64]*heldCall{}, prune: minPrune, answers: answerQueue{limit: maxAnswers}}
}

// Stop ends the waits for claims that the log hasn't shown. Calls that run go on.
func (r *Runner) Stop() { r.once.Do(func() { close(r.stopped) }) }

// Active returns how many calls run. A call counts until its outcome is on its way to
// the log: a graceful stop that ended before would leave it unknown.
func (r *Runner) Active() int64 { return r.active.Load() }

// Do runs a call under its key, or returns what became of it. forward is nil when
// another node sent the call here: two nodes that each hold the other for the owner
// would otherwise pass it to and fro.
func (r *Runner) Do(ctx context.Context, call Call, run RunFunc, forward ForwardFunc) (Response, error) {
	for range startOver {
		held, err := r.join(call)
		if err != nil {
			return Response{}, err
		}
		if held == nil {
			return r.elsewhere(ctx, call, forward)
		}
		answer, again, err := r.await(ctx, held, run)
		if !again {
			return answer, err
		}
	}
	return Response{}, result.New(result.CallInProgress, "the key is being claimed").WithRetryAfter(comeBack)
}

// await waits for a held call to end, and runs it when it is free. again tells that
// the claim was lost or given up and that the caller should start over.
func (r *Runner) await(ctx context.Context, held *heldCall, run RunFunc) (answer Response, again bool, err error) {
	claimOver := r.Clock.After(claimWait)
	for {
		r.mu.Lock()
		switch held.phase {
		case ended:
			defer r.mu.Unlock()
			held.waiters--
			return held.answer, false, held.err
		case lost:
			defer r.mu.Unlock()
			held.waiters--
			return Response{}, !refusesForGood(held.err), held.err
		case free:
			if ctx.Err() == nil {
				r.start(ctx, held, run)
			}
		}
		changed, waitsForClaim := held.changed, held.phase == claiming
		r.mu.Unlock()
		var claimTimeout <-chan time.Time
		if waitsForClaim {
			claimTimeout = claimOver
		}
		select {
		case <-changed:
		case <-claimTimeout:
			answer, err = r.leave(held)
			return answer, false, err
		case <-ctx.Done():
			answer, err = r.leave(held)
			return answer, false, err
		}
	}
}

// leave ends a caller's wait. A try that ends before the claim was read back has not
// run and never will, but an earlier try with the key may have run at a node whose
// claim this one hasn't seen: the code doesn't say "not run".
func (r *Runner) leave(held *heldCall) (Response, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held.waiters--
	switch held.phase {
	case claiming:
		if held.waiters == 0 && held.claim != nil && held.claim.Withdraw() {
			r.drop(held, lost)
		}
		return Response{}, result.New(result.KeyNotClaimed, "the log doesn't confirm the key; this try was not run, an earlier one with the key may have been").WithRetryAfter(comeBack)
	case ended:
		return held.answer, held.err
	case free:
		// A ticket stays as it is: nothing is claimed for it in the log.
		if held.waiters == 0 && !held.isTicket() {
			r.release(held)
		}
		return Response{}, result.New(result.CallerGone, "the caller left before the call was run")
	}
	return Response{}, result.New(result.CallInProgress, "the call runs; ask again with the same key or ticket").WithRetryAfter(comeBack)
}

// start runs a free call apart from its caller: a caller that leaves must find the
// answer when it comes back, and the call can't be unsent.
func (r *Runner) start(ctx context.Context, held *heldCall, run RunFunc) {
	held.move(running)
	r.active.Add(1)
	go func() {
		defer r.active.Add(-1)
		answer, err := r.guard(context.WithoutCancel(ctx), run)
		r.finish(held, answer, err)
	}()
}

// guard turns a panic into an unknown outcome. Unrecovered it would end the node,
// and with it every other call and stream.
func (r *Runner) guard(ctx context.Context, run RunFunc) (answer Response, err error) {
	defer func() {
		if defect := recover(); defect != nil {
			r.Events.Record(event.PanicRecovered, "why", fmt.Sprint(defect))
			err = result.New(result.OutcomeUnknown, "a defect in this node")
		}
	}()
	return run(ctx)
}

// elsewhere answers for a call that this node doesn't hold.
func (r *Runner) elsewhere(ctx context.Context, call Call, forward ForwardFunc) (Response, error) {
	claim, known := r.Claims.Get(call.ID)
	switch {
	case !known:
		return Response{}, result.New(result.CallInProgress, "the key is being given up").WithRetryAfter(comeBack)
	case claim.Digest != string(call.Digest[:]):
		return Response{}, reused(call.ID.Key)
	case claim.Owner != r.Incarnation && r.IsOpen(claim.Owner) && forward != nil:
		return forward(ctx, claim.Owner)
	case claim.Owner != r.Incarnation && r.IsOpen(claim.Owner):
		return Response{}, result.New(result.CallInProgress, "another node owns the key").WithRetryAfter(comeBack)
	case claim.End == recordv1.CallEnd_CALL_END_RAN:
		return Response{}, result.New(result.AlreadyRan, "the call ran and was answered with status %d; its answer is no longer held", claim.Status)
	}
	return Response{}, result.New(result.OutcomeUnknown, "the node that may have run the call is gone; it will not be run again")
}
