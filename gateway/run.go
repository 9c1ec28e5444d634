package gateway

import (
	"context"
	"errors"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/result"
	"lavenderpin.dev/lavenderpin/throttle"
)

// sendResult is the result of one send.
type sendResult int

const (
	// delivered: the caller has the whole response, or the call is over for the caller.
	delivered sendResult = iota + 1
	// notRun: the upstream certainly did not run the request.
	notRun
	// mayHaveRun: the request ran or may have run, and the caller has no complete response.
	mayHaveRun
)

// run sends the request until a response is delivered or it gives up.
func (c *call) run(ctx context.Context) {
	if refusal := c.shed(c.upstreams()); refusal != nil {
		c.refuseUnsent(refusal)
		return
	}
	defer c.permit.End()
	for {
		if ctx.Err() != nil || c.callerClosed() {
			c.giveUp(ctx, "the time is over")
			return
		}
		if c.possibleRuns == 0 && c.mayOutlastNode() {
			c.refuseUnsent(drain.Refusal())
			return
		}
		if refusal := c.refuseIfCrashing(); refusal != nil {
			c.giveUpCrashing(ctx, refusal)
			return
		}
		if denial := c.awaitPermit(ctx); denial != nil {
			c.giveUpDenied(ctx, denial)
			return
		}
		if ctx.Err() != nil || c.callerClosed() {
			continue
		}
		if c.possibleRuns > 0 && (c.trial || !c.g.Quarantine.MaySendAgain(c.partIDs)) {
			c.giveUp(ctx, "upstreams crashed under other requests with a part of the prompt")
			return
		}
		choice, found, again := c.pick(ctx)
		if again {
			continue
		}
		if !found {
			c.giveUp(ctx, c.noUpstreamReason())
			return
		}
		if !c.open(choice) {
			continue // others took its room meanwhile
		}
		if c.sends > c.unsent && !c.takeRetry() {
			c.close(choice.Upstream)
			c.g.Events.Record(event.RetryDenied, "request", c.r.ID, "service", c.service.Name, "sends", c.sends, "unsent", c.unsent)
			c.giveUp(ctx, "the budget for repeats is spent")
			return
		}
		c.sends++
		c.upstream = choice.Upstream
		c.recordDispatch(choice)
		res := c.send(ctx, choice)
		c.permit.End()
		if res == mayHaveRun {
			c.possibleRuns++
		}
		if res == delivered {
			return
		}
		c.tried = append(c.tried, choice.Upstream)
		if !c.maySendAgain(ctx, res) {
			c.giveUp(ctx, "no send is left")
			return
		}
		c.g.Events.Record(event.AttemptRetried, "request", c.r.ID, "upstream", choice.Upstream.ID, "ran", c.possibleRuns, "after", c.lastEvent)
	}
}

// pick chooses an upstream. If there is none, it waits for what may change that; again is set if the request should be
// examined once more.
func (c *call) pick(ctx context.Context) (choice placement.PickResult, found, again bool) {
	choice, found = c.g.Picker.Pick(c.query(), c.upstreams())
	if !found && (c.awaitDeclaration(ctx) || c.awaitRoom(ctx)) {
		return choice, false, true
	}
	if !found {
		choice, found = c.pickBeyondRamps()
	}
	if found && !c.mayBeginAt(choice.Upstream) {
		c.onlyDeclared = true
		return choice, false, true
	}
	return choice, found, !found && c.awaitReachable(ctx)
}

// callerClosed reports whether the caller's connection is closed, as the system knows. ctx ends only once
// the process has read the close, and a node short of processor time may send another try before.
func (c *call) callerClosed() bool {
	if c.r.CallerClosed != nil && c.r.CallerClosed() {
		c.callerGone, c.closeUnhandled = true, true
	}
	return c.callerGone
}

// recordDispatch records the chosen upstream and the inputs of the choice. load_age_ms is -1 if
// the upstream has not reported its load yet.
func (c *call) recordDispatch(choice placement.PickResult) {
	load := choice.Upstream.Load()
	age := int64(-1)
	if load.At != 0 {
		age = c.g.since(load.At).Milliseconds()
	}
	pairs := []any{"request", c.r.ID, "upstream", choice.Upstream.ID, "version", choice.Upstream.Version, "send", c.sends,
		"expected_ms", choice.Expected.Milliseconds(), "candidates", choice.Candidates, "unread", choice.Uncached, "unread_shared", choice.UncachedShared, "affinity", choice.Affinity,
		"running", load.Running, "waiting", load.Waiting, "load_age_ms", age, "left_ms", c.timeLeft().Milliseconds(), "after", c.lastEvent}
	if crashes := c.permit.Crashes(); crashes > 0 {
		pairs = append(pairs, "content", c.content, "crashes", crashes)
	}
	if c.r.HasResumeAfter {
		pairs = append(pairs, "resumes", c.r.Resumes)
	}
	if origin := c.origin.Load(); origin != nil {
		pairs = append(pairs, "began_version", origin.Version)
	}
	if left, draining := c.g.drainLeft(); draining {
		pairs = append(pairs, "drain_left_ms", left.Milliseconds())
	}
	c.g.Events.Record(event.RequestDispatched, pairs...)
}

func (c *call) maySendAgain(ctx context.Context, res sendResult) bool {
	if c.callerGone || ctx.Err() != nil || c.timeLeft() < c.g.settings.MinTimeLeft {
		return false
	}
	if c.sends-c.unsent >= c.g.settings.MaxSends || c.unsent >= c.g.settings.MaxUnsent {
		return false
	}
	if c.possibleRuns == 0 {
		return true
	}
	if !c.route.Retryable() || c.possibleRuns >= c.route.MaxAttempts {
		return false
	}
	// A stream can be continued only if its events are numbered.
	return c.events == 0 || c.hasEvent
}

// giveUpCrashing ends a request that isn't sent again since upstreams crashed under it.
func (c *call) giveUpCrashing(ctx context.Context, refusal *result.Error) {
	if c.responseStarted {
		c.giveUp(ctx, refusal.Message)
		return
	}
	c.awaitOthersTold(ctx)
	c.outcome = "crashes_upstreams"
	c.refuse(refusal)
}

// giveUpDenied ends a request that got no permit to be sent.
func (c *call) giveUpDenied(ctx context.Context, denial *result.Error) {
	switch {
	case denial.Code == result.CrashesUpstreams:
		c.giveUpCrashing(ctx, denial)
	case c.possibleRuns > 0 || ctx.Err() != nil || c.callerGone:
		c.giveUp(ctx, denial.Message)
	default:
		c.refuseUnsent(denial)
	}
}

// giveUp sends the final response, once other nodes know of the upstreams that ended.
func (c *call) giveUp(ctx context.Context, reason string) {
	c.awaitOthersTold(ctx)
	nodeEnds := errors.Is(context.Cause(ctx), drain.ErrNodeEnds)
	if nodeEnds {
		reason = drain.ErrNodeEnds.Error()
	}
	switch {
	case c.callerGone || errors.Is(context.Cause(ctx), context.Canceled):
		c.outcome = "caller_left"
		c.g.Events.Record(event.CallerLeft, "request", c.r.ID, "events", c.events, "unhandled", c.closeUnhandled)
		c.sink.Abort()
	case c.responseStarted:
		_ = c.sink.Flush() // the caller gets what has arrived; if it has left, it needs nothing
		c.outcome = "cut"
		c.g.Events.Record(event.RequestFailed, "request", c.r.ID, "reason", reason, "events", c.events, "ran", c.possibleRuns)
		c.sink.Abort()
	case c.fallback != nil:
		c.outcome = "upstream_failed"
		c.fallback.deliver(c.sink)
	case c.possibleRuns > 0:
		c.outcome = "unknown"
		c.refuse(c.unknownOutcome(ctx, reason))
	case nodeEnds:
		c.refuseUnsent(drain.Refusal())
	case reason == reasonNoVersion:
		c.refuseUnsent(result.New(result.VersionMissing, "%s: %s", reason, c.origin.Load().Version).WithRetryAfter(c.capacityRetryAfter()))
	case reason == reasonAtLimit:
		c.refuseUnsent(result.New(result.AtLimit, "%s", reason).WithRetryAfter(c.limitRetryAfter()))
	case reason == reasonNoRoom, reason == reasonNoMemory:
		c.refuseUnsent(result.New(result.Overloaded, "%s", reason).WithRetryAfter(c.g.settings.Shedding.RetryAfter(random())))
	default:
		c.refuseUnsent(result.New(result.NoUpstream, "%s", reason).WithRetryAfter(c.capacityRetryAfter()))
	}
}

// refuseUnsent refuses an admitted request that certainly did not run.
func (c *call) refuseUnsent(e *result.Error) {
	c.outcome = outcomeRefused
	c.refuse(e)
}

// unknownOutcome returns the error for a request that may have run.
func (c *call) unknownOutcome(ctx context.Context, reason string) *result.Error {
	code := result.UpstreamFailed
	if c.route.Kind == catalog.NonIdempotent {
		code = result.OutcomeUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = result.DeadlineExceeded
	}
	return result.New(code, "%s", reason)
}

// recordFailure records a failed send in the upstream's statistics.
func (c *call) recordFailure(u *directory.Upstream, unreachable bool) {
	now := c.g.Clock.Now()
	if unreachable {
		u.RecordUnreachable(now)
		u.Throttle.Failed(now, random())
		c.armRamp(u, now)
		return
	}
	u.RecordFailure(now)
}

// recordSuccess records a complete response in the upstream's statistics.
func (c *call) recordSuccess(u *directory.Upstream) {
	now := c.g.Clock.Now()
	u.RecordSuccess(now)
	load := u.Load()
	u.Throttle.Succeeded(throttle.Load{Running: load.Running, Waiting: load.Waiting, Slots: u.Slots}, now-c.lastSentAt, now)
}
