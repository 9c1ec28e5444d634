package gateway

import (
	"context"
	"io"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/eventstream"
)

// stream passes events on as they arrive, whole ones only. The answer ends as complete
// only if the upstream's did.
func (c *call) stream(ctx context.Context, u *directory.Upstream, answer *Response, silence *silenceWatch, answered func()) verdict {
	if !answer.Signed {
		c.observe(u, false)
		return mayHaveRun
	}
	events := eventstream.NewReader(answer.Body)
	for first := true; ; first = false {
		e, err := events.Next()
		if err == io.EOF {
			return c.streamEnded(u)
		}
		if err != nil {
			return c.streamCut(ctx, u, err)
		}
		if first {
			now := c.g.Clock.Now()
			u.RecordResponseStart(now-c.sentAt, now)
		}
		answered()
		c.clock()
		u.RecordReceived(c.lastAt)
		silence.rearm()
		c.begin(answer)
		if !c.pass(e, !events.Buffered()) {
			return mayHaveRun
		}
	}
}

// begin sends the answer's head before its first event. A stream that goes on at
// another upstream keeps the head that the caller has.
func (c *call) begin(answer *Response) {
	if c.started {
		return
	}
	c.started = true
	c.sink.Start(answer.Status, answer.Header, -1)
}

// clock keeps the times of events.
func (c *call) clock() {
	now := c.g.Clock.Now()
	if c.lastAt == 0 {
		c.firstEvent = now - c.r.Arrived
	} else {
		c.longestGap = max(c.longestGap, now-c.lastAt)
	}
	c.lastAt = now
}

// pass hands one event on. Events that the caller has already are left out.
func (c *call) pass(e eventstream.Event, flush bool) bool {
	if e.HasID {
		if c.hasEvent && e.ID <= c.lastEvent {
			return true
		}
		c.lastEvent, c.hasEvent = e.ID, true
	}
	if err := c.sink.Write(e.Raw); err != nil {
		c.gone = true
		return false
	}
	c.events++
	if flush && c.sink.Flush() != nil {
		c.gone = true
	}
	return !c.gone
}

func (c *call) streamEnded(u *directory.Upstream) verdict {
	if !c.started {
		// A stream without a single event isn't an answer.
		c.observe(u, false)
		return mayHaveRun
	}
	u.RecordSuccess(c.g.Clock.Now())
	c.ran++
	c.outcome = "served"
	return delivered
}

func (c *call) streamCut(ctx context.Context, u *directory.Upstream, err error) verdict {
	if ctx.Err() == nil || context.Cause(ctx) == errSilent {
		c.observe(u, context.Cause(ctx) == errSilent)
	}
	c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "events", c.events, "after", c.lastEvent, "error", err)
	return mayHaveRun
}
