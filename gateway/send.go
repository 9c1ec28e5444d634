package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"lavenderpin.dev/lavenderpin/bodybuffer"
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/httpwire"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/reach"
)

// bufferedResponse is a complete upstream response held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	// length is what the response declares. One to HEAD has no body, whatever its length.
	length int64
	body   []byte
}

func (b *bufferedResponse) deliver(sink Sink) {
	sink.Start(b.status, b.header, b.length)
	_ = sink.Write(b.body) // a caller that disconnected cannot receive an error
}

// send sends the request to one upstream, which it has opened a request at, and forwards its response.
func (c *call) send(ctx context.Context, choice placement.PickResult) sendResult {
	u := choice.Upstream
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	monitor := c.monitorSilence(u, cancel)
	defer monitor.stop()
	defer c.close(u)
	sentAt := c.g.Clock.Now()
	if c.lastSentAt == 0 {
		c.stages[stageAdmit] = sentAt - c.r.Arrived - c.r.Unread - c.r.Turn
	}
	u.RecordSent(sentAt)
	u.RecordPlaced(choice.Affinity, sentAt)
	c.lastSentAt = sentAt
	prompt := int64(choice.Uncached)
	u.PromptInFlight.Add(prompt)
	promptPending := true
	markAnswered := func() {
		if promptPending {
			u.PromptInFlight.Add(-prompt)
			u.RecordSettled(sentAt)
			promptPending = false
		}
	}
	defer markAnswered()

	d := c.newDispatch(u)
	connectedAt := sentAt
	d.Begin = func() error {
		connectedAt = c.g.Clock.Now()
		if c.callerClosed() {
			return ErrCallerClosed
		}
		if !c.permit.Begin() {
			return ErrPermitNeeded
		}
		return nil
	}
	resp, err := c.g.Upstreams.Send(ctx, u, d)
	c.stages[stageConnect] += connectedAt - sentAt
	c.stages[stageAnswer] += c.g.since(connectedAt)
	if err != nil {
		return c.handleSendError(ctx, u, err)
	}
	defer resp.Close()
	c.recordAnnouncements(u, resp)
	if res, final := c.handleNotRun(u, resp); final {
		return res
	}
	c.g.Picker.Observe(c.query(), u)
	isStream := c.route.Kind == catalog.Streaming && resp.Status < 300 && c.r.Method != http.MethodHead
	if resp.Status >= 500 {
		u.Throttle.Refused(c.g.Clock.Now())
	} else if !isStream {
		c.observeAnswer(u)
	}
	if isStream {
		return c.forwardStream(ctx, u, resp, monitor, markAnswered)
	}
	return c.forwardBuffered(ctx, u, resp, connectedAt)
}

// recordAnnouncements records what a response says about the upstream itself.
func (c *call) recordAnnouncements(u *directory.Upstream, resp *Response) {
	now := c.g.Clock.Now()
	u.RecordReceived(now)
	if resp.Pause > 0 {
		u.RecordPause(now + resp.Pause)
	}
	c.recordBrittle(u, resp)
	c.recordLimit(u, resp)
	if !resp.AddressReassigned {
		u.Throttle.Heard() // last, so that what the answer says is in force before more is sent
	}
	if resp.Leaving && !resp.AddressReassigned && u.RecordLeaving() {
		c.g.Events.Record(event.UpstreamListed, "request", c.r.ID, "upstream", u.ID, "service", u.Service, "address", u.Address,
			"left", true, "announced", true, "born", u.StartedAt)
	}
}

func (c *call) newDispatch(u *directory.Upstream) *Dispatch {
	d := &Dispatch{Request: c.r, Account: c.accountName(), Remaining: c.timeLeft(), LastEventID: c.r.ResumeAfter, HasLastEventID: c.r.HasResumeAfter, Urgency: c.urgency(), Regions: c.regions}
	if c.hasEvent {
		d.LastEventID, d.HasLastEventID = c.lastEvent, true
	}
	d.Identity = c.requiredIdentity(u, d.HasLastEventID)
	if origin := c.origin.Load(); origin != nil {
		d.Weights = origin.Weights
	}
	return d
}

// maxUrgency is the highest rank (least urgent) that engines support.
const maxUrgency = 9

// urgency returns the rank for engines: the account's priority if set, otherwise the route's.
func (c *call) urgency() int {
	rank := c.route.Priority
	if c.account != nil && c.account.HasPriority {
		rank = c.account.Priority
	}
	return min(maxUrgency, max(0, rank))
}

// handleSendError records a send that brought no response.
func (c *call) handleSendError(ctx context.Context, u *directory.Upstream, err error) sendResult {
	if errors.Is(err, ErrCallerClosed) {
		c.callerGone, c.closeUnhandled = true, true
		return notRun
	}
	if errors.Is(err, ErrPermitNeeded) { // the request is sent once other nodes were asked
		c.unsent++
		return notRun
	}
	if errors.Is(err, ErrOtherIncarnation) { // nothing is wrong with the upstream, nor with the path to it
		c.unsent++
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "not_sent", true, "error", err)
		return notRun
	}
	notSent := errors.Is(err, ErrNotSent)
	if notSent && errors.Is(err, reach.ErrOutsideRegions) {
		c.unsent++
		u.RecordOutsideRegions(c.g.Clock.Now())
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "not_sent", true, "error", err)
		return notRun
	}
	silent := errors.Is(context.Cause(ctx), errUpstreamSilent)
	if ctx.Err() == nil || silent {
		c.recordFailure(u, notSent || silent)
	}
	c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "not_sent", notSent, "silent", silent, "error", err)
	if !notSent {
		if (ctx.Err() == nil || silent) && !errors.Is(err, httpwire.ErrMalformed) {
			c.recordCrash(u, false, silent)
		}
		return mayHaveRun
	}
	c.unreached = append(c.unreached, u)
	if !errors.Is(err, reach.ErrIsolated) {
		c.unsent++
	}
	return notRun
}

// handleNotRun handles responses which report that the request did not run.
func (c *call) handleNotRun(u *directory.Upstream, resp *Response) (sendResult, bool) {
	if !resp.NotRun && !resp.AddressReassigned {
		return 0, false
	}
	if resp.OtherWeights {
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", resp.Status, "weights", c.origin.Load().Weights, "not_run", true)
		return notRun, true // nothing is wrong with the upstream
	}
	c.recordFailure(u, resp.AddressReassigned)
	if !resp.AddressReassigned {
		u.Throttle.Refused(c.g.Clock.Now())
	}
	if !resp.AddressReassigned && u.Throttle.Brittle() {
		u.Throttle.Rejected(c.g.Senders(), c.g.Clock.Now(), random())
	}
	c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", resp.Status, "elsewhere", resp.AddressReassigned, "not_run", true, "pause_ms", resp.Pause.Milliseconds())
	return notRun, true
}

// promisesNotRun reports whether callers take a status as the promise that their request hasn't run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// maxBufferedBytes bounds a response, in bytes, that is read whole before any of it is forwarded.
// Plain services respond with a few hundred bytes; a longer response is streamed, and one for which
// the node has no memory left as well.
const maxBufferedBytes = 256 << 10

// forwardBuffered reads the whole response before the caller sees any of it, so that a truncated
// one can still be replaced. The request was written at connectedAt.
func (c *call) forwardBuffered(ctx context.Context, u *directory.Upstream, resp *Response, connectedAt time.Duration) sendResult {
	isHead := c.r.Method == http.MethodHead
	if promisesNotRun(resp.Status) { // responses in which the upstream says so don't get here
		c.recordFailure(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", resp.Status, "signed", resp.Signed, "not_run", false)
		return mayHaveRun
	}
	if resp.Length > maxResponseBytes && !isHead {
		c.recordFailure(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", resp.Status, "length", resp.Length)
		return mayHaveRun
	}
	read, err := c.g.Bodies.Read(resp.Body, maxBufferedBytes)
	c.bodies = append(c.bodies, read)
	if err == nil && !read.Complete {
		return c.forwardLarge(u, resp, read)
	}
	body := read.Bytes
	if err != nil || resp.Length >= 0 && int64(len(body)) != resp.Length && !isHead {
		c.recordFailure(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", resp.Status, "bytes", len(body), "error", err)
		if ctx.Err() == nil && !errors.Is(err, httpwire.ErrMalformed) {
			c.recordCrash(u, true, false)
		}
		return mayHaveRun
	}
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, length: int64(len(body)), body: body}
	if isHead {
		buffered.length = resp.Length
	}
	if resp.Status >= 500 {
		c.recordFailure(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", resp.Status, "pause_ms", resp.Pause.Milliseconds())
		if !c.responseStarted {
			c.fallback = buffered
		}
		return mayHaveRun
	}
	if !resp.Signed && resp.Status < 300 || c.responseStarted {
		c.recordFailure(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", resp.Status, "signed", resp.Signed)
		return mayHaveRun
	}
	c.recordSuccess(u)
	if c.service.Engine == nil && resp.Status < 300 && u.DataCentre == c.g.DataCentre { // to others, the network takes longer than the work
		now := c.g.Clock.Now()
		u.ObserveResponseTime(now-connectedAt, now)
	}
	c.g.Quarantine.AnswerBegun(c.partIDs)
	c.possibleRuns++
	c.outcome, c.succeeded = outcomeServed, resp.Status < 300
	deliverAt := c.g.Clock.Now()
	buffered.deliver(c.sink)
	c.stages[stageDeliver] += c.g.since(deliverAt)
	return delivered
}

// maxResponseBytes bounds a response, in bytes, and the events of a stream together. Bytes that are no answer may come
// without end; the longest answers have a few megabytes.
const maxResponseBytes = 64 << 20

// forwardLarge streams a response that is too large to buffer. Failures, and what nobody signed, are passed on only whole.
func (c *call) forwardLarge(u *directory.Upstream, resp *Response, read *bodybuffer.Buffer) sendResult {
	headBytes := len(read.Bytes)
	if c.responseStarted || !resp.Signed || resp.Status >= 500 {
		c.recordFailure(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", resp.Status, "signed", resp.Signed, "bytes", headBytes, "short_of_memory", read.Short)
		return mayHaveRun
	}
	c.responseStarted = true
	c.sink.Start(resp.Status, resp.Header, resp.Length)
	err := c.sink.Write(read.Bytes)
	read.Release()
	if err != nil {
		return mayHaveRun
	}
	rest := http.MaxBytesReader(nil, io.NopCloser(resp.Body), maxResponseBytes-int64(headBytes))
	if n, err := io.Copy(sinkWriter{c.sink}, rest); err != nil {
		c.recordFailure(u, false)
		c.g.Events.Record(event.AnswerRejected, "request", c.r.ID, "upstream", u.ID, "status", resp.Status, "bytes", headBytes+int(n), "error", err)
		return mayHaveRun
	}
	c.possibleRuns++
	c.outcome, c.succeeded = outcomeServed, resp.Status < 300
	return delivered
}

// sinkWriter adapts a Sink to io.Writer for io.Copy.
type sinkWriter struct{ Sink }

func (w sinkWriter) Write(p []byte) (int, error) {
	if err := w.Sink.Write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// streamResumable reports whether an interrupted stream may continue at another upstream.
func (c *call) streamResumable() bool {
	return c.route.Kind == catalog.Streaming && c.route.Resumable
}
