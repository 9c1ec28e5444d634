package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/placement"
)

// heldAnswer is an upstream's whole answer.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (h *heldAnswer) deliver(sink Sink) {
	sink.Start(h.status, h.header, int64(len(h.body)))
	_ = sink.Write(h.body) // a caller that left has no use of an error
}

// send sends the request to one upstream and passes its answer on.
func (c *call) send(ctx context.Context, choice placement.PickResult) verdict {
	u := choice.Upstream
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := c.watchSilence(u, cancel)
	defer silence.stop()
	u.InFlight.Add(1)
	defer u.InFlight.Add(-1)
	sent := c.g.Clock.Now()
	u.RecordSent(sent)
	c.sentAt = sent
	prompt := int64(choice.Uncached)
	u.PromptInFlight.Add(prompt)
	reading := true
	answered := func() {
		if reading {
			u.PromptInFlight.Add(-prompt)
			u.RecordSettled(sent)
			reading = false
		}
	}
	defer answered()

	answer, err := c.g.Upstreams.Send(ctx, u, c.dispatch())
	if err != nil {
		return c.noAnswer(ctx, u, err)
	}
	defer answer.Close()
	u.RecordReceived(c.g.Clock.Now())
	if v, final := c.refusedBy(u, answer); final {
		return v
	}
	c.g.Picker.Observe(c.query(), u)
	if answer.IsEventStream && answer.Status < 300 {
		return c.stream(ctx, u, answer, silence, answered)
	}
	return c.whole(ctx, u, answer)
}

func (c *call) dispatch() *Dispatch {
	d := &Dispatch{Request: c.r, Account: c.accountName(), Remaining: c.left(), LastEventID: c.r.ResumeAfter, HasLastEventID: c.r.HasResumeAfter, Urgency: c.urgency()}
	if c.hasEvent {
		d.LastEventID, d.HasLastEventID = c.lastEvent, true
	}
	return d
}

// mostUrgency is the last rank that engines know.
const mostUrgency = 9

// urgency ranks the request at engines by its account's priority, or else its route's.
func (c *call) urgency() int {
	rank := c.route.Priority
	if c.account != nil && c.account.HasPriority {
		rank = c.account.Priority
	}
	return min(mostUrgency, max(0, rank))
}

// noAnswer books a send that brought no answer.
func (c *call) noAnswer(ctx context.Context, u *directory.Upstream, err error) verdict {
	notSent := errors.Is(err, ErrNotSent)
	silent := errors.Is(context.Cause(ctx), errSilent)
	if ctx.Err() == nil || silent {
		c.observe(u, notSent || silent)
	}
	c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "not_sent", notSent, "silent", silent, "error", err)
	if notSent {
		return notRun
	}
	return mayHaveRun
}

// refusedBy handles answers that say that the request didn't run.
func (c *call) refusedBy(u *directory.Upstream, answer *Response) (verdict, bool) {
	if !answer.NotRun && !answer.AddressReassigned {
		return 0, false
	}
	c.observe(u, answer.AddressReassigned)
	c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", answer.Status, "elsewhere", answer.AddressReassigned, "not_run", true)
	return notRun, true
}

// maxWhole bounds an answer that is read whole before any of it is passed on, in bytes.
// Plain services answer with some hundred bytes; a longer answer is passed on as it
// comes.
const maxWhole = 256 << 10

// whole reads an answer to its end before the caller sees any of it, so that one that
// breaks off can still be replaced.
func (c *call) whole(ctx context.Context, u *directory.Upstream, answer *Response) verdict {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWhole))
	if err == nil && len(body) == maxWhole {
		return c.long(u, answer, body)
	}
	if err != nil || answer.Length >= 0 && int64(len(body)) != answer.Length {
		c.observe(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", answer.Status, "bytes", len(body), "error", err)
		return mayHaveRun
	}
	held := &heldAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= 500 {
		c.observe(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", answer.Status)
		if !c.started {
			c.fallback = held
		}
		return mayHaveRun
	}
	if !answer.Signed && answer.Status < 300 || c.started {
		c.observe(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", answer.Status, "signed", answer.Signed)
		return mayHaveRun
	}
	u.RecordSuccess(c.g.Clock.Now())
	c.ran++
	c.outcome = "served"
	held.deliver(c.sink)
	return delivered
}

// long passes an answer on that is too large to hold.
func (c *call) long(u *directory.Upstream, answer *Response, head []byte) verdict {
	if c.started {
		return mayHaveRun
	}
	c.started = true
	c.sink.Start(answer.Status, answer.Header, answer.Length)
	if err := c.sink.Write(head); err != nil {
		return mayHaveRun
	}
	if _, err := io.Copy(sinkWriter{c.sink}, answer.Body); err != nil {
		c.observe(u, false)
		return mayHaveRun
	}
	c.ran++
	c.outcome = "served"
	return delivered
}

// sinkWriter lets io.Copy write to a sink.
type sinkWriter struct{ Sink }

func (w sinkWriter) Write(p []byte) (int, error) {
	if err := w.Sink.Write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// repeatableStream tells whether a cut stream may go on elsewhere.
func (c *call) repeatableStream() bool {
	return c.route.Kind == catalog.Streaming && c.route.Resumable
}
