package gateway

import (
	"context"
	"errors"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/result"
)

// verdict is how one send ended.
type verdict int

const (
	// delivered: the caller has the whole answer, or the call is over for it.
	delivered verdict = iota + 1
	// notRun: the request surely didn't run there.
	notRun
	// mayHaveRun: it ran or may have, and the caller has no whole answer.
	mayHaveRun
)

// run sends the request until it is answered or given up.
func (c *call) run(ctx context.Context) {
	if refusal := c.shed(c.upstreams()); refusal != nil {
		c.outcome = "refused"
		c.refuse(refusal)
		return
	}
	for {
		if ctx.Err() != nil {
			c.giveUp(ctx, "the time is over")
			return
		}
		choice, ok := c.g.Picker.Pick(c.query(), c.upstreams())
		if !ok {
			c.giveUp(ctx, "no upstream is left")
			return
		}
		if c.sends > 0 && !c.takeRepeat() {
			c.g.Events.Record(event.RetryDenied, "request", c.r.ID, "service", c.service.Name, "sends", c.sends)
			c.giveUp(ctx, "the budget for repeats is spent")
			return
		}
		c.sends++
		c.upstream = choice.Upstream
		c.logDispatch(choice)
		v := c.send(ctx, choice)
		if v == mayHaveRun {
			c.ran++
		}
		if v == delivered {
			return
		}
		c.tried = append(c.tried, choice.Upstream)
		if !c.maySendAgain(ctx, v) {
			c.giveUp(ctx, "no send is left")
			return
		}
		c.g.Events.Record(event.AttemptRetried, "request", c.r.ID, "upstream", choice.Upstream.ID, "ran", c.ran, "after", c.lastEvent)
	}
}

func (c *call) upstreams() []*directory.Upstream {
	return c.g.Directory.Current().Upstreams(c.service.Name)
}

// logDispatch tells where the request goes and what decided it. An age of -1 means that
// the upstream hasn't told its load yet.
func (c *call) logDispatch(choice placement.PickResult) {
	load := choice.Upstream.Load()
	age := int64(-1)
	if load.At != 0 {
		age = c.g.since(load.At).Milliseconds()
	}
	c.g.Events.Record(event.RequestDispatched, "request", c.r.ID, "upstream", choice.Upstream.ID, "send", c.sends,
		"expected_ms", choice.Expected.Milliseconds(), "candidates", choice.Candidates, "unread", choice.Uncached,
		"running", load.Running, "waiting", load.Waiting, "load_age_ms", age, "left_ms", c.left().Milliseconds(), "after", c.lastEvent)
}

func (c *call) maySendAgain(ctx context.Context, v verdict) bool {
	if c.gone || ctx.Err() != nil || c.sends >= c.g.settings.MaxSends || c.left() < c.g.settings.MinTimeLeft {
		return false
	}
	if c.ran == 0 {
		return true
	}
	if !c.route.Retryable() || c.ran >= c.route.MaxAttempts {
		return false
	}
	// A stream can be joined only where its events are numbered.
	return c.events == 0 || c.hasEvent
}

// giveUp gives the final answer at once.
func (c *call) giveUp(ctx context.Context, why string) {
	switch {
	case c.gone || errors.Is(context.Cause(ctx), context.Canceled):
		c.outcome = "caller_left"
		c.g.Events.Record(event.CallerLeft, "request", c.r.ID, "events", c.events)
		c.sink.Abort()
	case c.started:
		c.outcome = "cut"
		c.g.Events.Record(event.RequestFailed, "request", c.r.ID, "reason", why, "events", c.events, "ran", c.ran)
		c.sink.Abort()
	case c.fallback != nil:
		c.outcome = "upstream_failed"
		c.fallback.deliver(c.sink)
	case c.ran > 0:
		c.outcome = "unknown"
		c.refuse(c.unknown(ctx, why))
	default:
		c.outcome = "refused"
		c.refuse(result.New(result.NoUpstream, "%s", why).WithRetryAfter(c.g.settings.BusyRetryAfter))
	}
}

// unknown is the answer when the request may have run.
func (c *call) unknown(ctx context.Context, why string) *result.Error {
	code := result.UpstreamFailed
	if c.route.Kind == catalog.NonIdempotent {
		code = result.OutcomeUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = result.DeadlineExceeded
	}
	return result.New(code, "%s", why)
}

// observe books a failed send with the upstream.
func (c *call) observe(u *directory.Upstream, unreachable bool) {
	now := c.g.Clock.Now()
	if unreachable {
		u.RecordUnreachable(now)
		return
	}
	u.RecordFailure(now)
}
