package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/eventstream"
	"lavenderpin.dev/lavenderpin/httpwire"
)

// forwardStream forwards the events of the stream as they arrive; nothing else reaches the caller. The response ends as
// complete only if the upstream's did.
func (c *call) forwardStream(ctx context.Context, u *directory.Upstream, resp *Response, monitor *silenceMonitor, markAnswered func()) sendResult {
	hasNoContent := resp.Status == http.StatusNoContent || resp.Status == http.StatusResetContent
	if !resp.Signed || !resp.IsEventStream || hasNoContent {
		c.recordFailure(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", resp.Status, "signed", resp.Signed, "stream", resp.IsEventStream)
		return mayHaveRun
	}
	events := eventstream.NewReader(http.MaxBytesReader(nil, io.NopCloser(resp.Body), c.maxStreamBytes()), resp.NumericEventFields...)
	sequence := eventstream.NewSequence(c.lastDelivered(), c.maxEventID())
	pace := eventPace{}
	defer func() { pace.record(u, c.stages[stageDeliver]) }()
	for first := true; ; {
		e, err := events.Next()
		if err == io.EOF {
			return c.handleStreamEnd(ctx, u, resp, sequence)
		}
		if err != nil {
			if events.BrokeOffWithin(sequence.Due(), sequence.NextIsDue()) {
				c.knownEvent = sequence.Due()
			}
			return c.handleStreamError(ctx, u, resp, err)
		}
		isDue, err := sequence.Check(e)
		if err != nil {
			return c.handleInvalidEvent(ctx, u, resp, err)
		}
		if e.IsBlank() {
			if !events.Buffered() && !c.flushStarted() {
				return mayHaveRun
			}
			continue
		}
		if first {
			first = false
			now := c.g.Clock.Now()
			u.RecordResponseStart(now-c.lastSentAt, now)
			c.observeAnswer(u)
			c.recordStreamBegin(u, resp)
			c.g.Quarantine.AnswerBegun(c.partIDs)
		}
		markAnswered()
		c.recordEventTime()
		u.RecordReceived(c.lastEventAt)
		pace.observe(u, c.lastEventAt, c.stages[stageDeliver])
		monitor.rearm()
		if !isDue {
			continue
		}
		c.startResponse(resp)
		if !c.forwardEvent(e, !events.Buffered()) {
			return mayHaveRun
		}
	}
}

// maxStreamBytes returns the most bytes that the stream can have, from the tokens that the request asks for.
func (c *call) maxStreamBytes() int64 {
	if c.r.MaxOutput <= 0 { // it doesn't say
		return eventstream.MaxStreamBytes
	}
	return int64(eventstream.MaxBytes(uint64(c.r.MaxOutput)))
}

// maxTokenlessEvents is how many events of a stream may bring no token, such as a closing one.
const maxTokenlessEvents = 4

// maxEventID returns the highest ID that an event of a model engine's stream can have, as each brings a token or more; zero if
// that isn't known.
func (c *call) maxEventID() int64 {
	most := c.r.MaxOutput + maxTokenlessEvents
	if c.service.Engine == nil || c.r.MaxOutput <= 0 || most < 0 || c.r.ResumeAfter > math.MaxInt64-most {
		return 0
	}
	return c.r.ResumeAfter + most
}

// lastDelivered returns the ID of the last event that the caller has of the stream; zero if it has none.
func (c *call) lastDelivered() int64 {
	if c.hasEvent {
		return c.lastEvent
	}
	return c.r.ResumeAfter
}

// recordInvalidEvent records that an upstream sent something that isn't the next event of the stream.
func (c *call) recordInvalidEvent(u *directory.Upstream, invalid *eventstream.InvalidError) {
	c.g.Metrics.recordInvalidEvent(invalid.Reason)
	c.g.Events.Record(event.EventInvalid, "request", c.r.ID, "upstream", u.ID, "after", c.lastDelivered(), "due", invalid.Due, "why", string(invalid.Reason),
		"id", invalid.Event.ID, "bytes", len(invalid.Event.Raw))
}

// startResponse forwards status and headers before the first event. A stream that continues at
// another upstream keeps those that the caller already has.
func (c *call) startResponse(resp *Response) {
	if c.responseStarted {
		return
	}
	c.responseStarted = true
	c.sink.Start(resp.Status, resp.Header, -1)
}

// recordEventTime updates the event timings.
func (c *call) recordEventTime() {
	now := c.g.Clock.Now()
	if c.lastEventAt == 0 {
		c.firstEvent = now - c.r.Arrived
	} else {
		c.longestGap = max(c.longestGap, now-c.lastEventAt)
	}
	c.lastEventAt = now
}

// forwardEvent forwards one event.
func (c *call) forwardEvent(e eventstream.Event, flush bool) bool {
	c.lastEvent, c.hasEvent = e.ID, true
	writtenAt := c.g.Clock.Now()
	defer func() { c.stages[stageDeliver] += c.g.since(writtenAt) }()
	if err := c.sink.Write(e.Raw); err != nil {
		c.callerGone = true
		return false
	}
	c.events++
	if flush && c.sink.Flush() != nil {
		c.callerGone = true
	}
	return !c.callerGone
}

// handleStreamEnd ends the response, unless events are known that the caller lacks.
func (c *call) handleStreamEnd(ctx context.Context, u *directory.Upstream, resp *Response, sequence *eventstream.Sequence) sendResult {
	err := sequence.CheckEnd()
	if c.knownEvent >= sequence.Due() {
		err = &eventstream.InvalidError{Reason: eventstream.Early, Due: sequence.Due()}
	}
	if err != nil {
		return c.handleInvalidEvent(ctx, u, resp, err)
	}
	if !c.responseStarted && !sequence.HasEvents() {
		// A stream without any event is not a response. One that goes on behind its last event has none: that is no crash.
		c.recordFailure(u, false)
		if c.lastDelivered() == 0 {
			c.recordCrash(u, true, false)
		}
		return mayHaveRun
	}
	c.startResponse(resp)
	c.recordSuccess(u)
	c.possibleRuns++
	c.outcome, c.succeeded = outcomeServed, true
	return delivered
}

// handleInvalidEvent gives up an answer that isn't the request's stream. It says nothing of the request: the upstream didn't
// crash under it.
func (c *call) handleInvalidEvent(ctx context.Context, u *directory.Upstream, resp *Response, err error) sendResult {
	resp.Abort() // what comes next on the connection belongs to no request
	var invalid *eventstream.InvalidError
	if errors.As(err, &invalid) {
		c.recordInvalidEvent(u, invalid)
		if ctx.Err() == nil && !c.mayBeCallersFault(invalid.Reason) {
			c.recordFailure(u, false)
		}
	}
	c.flushStarted() // events before it may wait
	return mayHaveRun
}

// mayBeCallersFault reports whether an answer isn't the stream that was due since the caller asked for events behind one that the
// stream doesn't have.
func (c *call) mayBeCallersFault(reason eventstream.Reason) bool {
	if c.hasEvent || !c.r.HasResumeAfter {
		return false
	}
	switch reason {
	case eventstream.Missing, eventstream.Repeated, eventstream.Restarted, eventstream.Early, eventstream.TooMany:
		return true
	}
	return false
}

// flushStarted sends what waits of a response that has begun, and reports whether the caller is still there.
func (c *call) flushStarted() bool {
	if c.responseStarted && c.sink.Flush() != nil {
		c.callerGone = true
	}
	return !c.callerGone
}

func (c *call) handleStreamError(ctx context.Context, u *directory.Upstream, resp *Response, err error) sendResult {
	var tooMuch *http.MaxBytesError
	if errors.Is(err, eventstream.ErrTooLong) || errors.As(err, &tooMuch) {
		return c.handleInvalidEvent(ctx, u, resp, &eventstream.InvalidError{Reason: eventstream.TooLong, Due: c.lastDelivered() + 1})
	}
	if ctx.Err() == nil || context.Cause(ctx) == errUpstreamSilent {
		c.recordFailure(u, context.Cause(ctx) == errUpstreamSilent)
	}
	c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "events", c.events, "after", c.lastEvent, "error", err)
	if silent := context.Cause(ctx) == errUpstreamSilent; (ctx.Err() == nil || silent) && !errors.Is(err, httpwire.ErrMalformed) {
		c.recordCrash(u, true, silent)
	}
	return mayHaveRun
}
