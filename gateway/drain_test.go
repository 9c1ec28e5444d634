package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/drain"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/result"
)

// drainFor starts a shutdown: addresses expire after one time, and the node ends after another.
func (tg *testGateway) drainFor(addresses, end time.Duration) {
	now := tg.clock.Now()
	tg.Drain(drain.Window{AddressesExpire: now + addresses, End: now + end})
}

// answer answers streams with events and other requests with a body.
func answer(_ context.Context, _ *directory.Upstream, d *Dispatch) (*Response, error) {
	if d.Path == "/stream/" {
		return newResponse(http.StatusOK, true, strings.NewReader(numberedEvents(1, 1))), nil
	}
	return newResponse(http.StatusOK, false, strings.NewReader("ok")), nil
}

// serveWithin serves a request whose caller waits for a time.
func (tg *testGateway) serveWithin(route string, left time.Duration) *recordingSink {
	r, sink := tg.request(route), &recordingSink{}
	r.TimeLeft = left
	tg.Serve(context.Background(), r, sink)
	return sink
}

// recordDurations records enough requests of a route for an estimate.
func (tg *testGateway) recordDurations(route string, took time.Duration) {
	for range 8 {
		tg.durations.Record(route, took)
	}
}

// Guards against accepting, during a shutdown, a request that may outlast the node.
func TestDrainingGatewayRefusesRequestsThatMayOutlastIt(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(10, answer)
	tg.recordDurations("read", 2*time.Second)
	tg.recordDurations("file", 3500*time.Millisecond)
	tg.drainFor(time.Second, 3*time.Second) // requests take at most 4 s

	is.Equal(tg.serve(context.Background(), "read").status, http.StatusOK)   // usually ends in time
	is.Equal(tg.serve(context.Background(), "stream").status, http.StatusOK) // nothing is known
	long := tg.serve(context.Background(), "file")
	is.Equal(long.refusal.Code, result.Draining)
	is.True(long.refusal.NotRun())
	is.True(long.refusal.RetryAfter > 0)

	tg.clock.Advance(time.Second) // addresses have expired
	is.Equal(tg.serve(context.Background(), "read").refusal.Code, result.Draining)
	is.Equal(tg.serve(context.Background(), "stream").refusal.Code, result.Draining)
	is.Equal(tg.serveWithin("read", time.Second).status, http.StatusOK) // certainly ends in time
	is.Equal(tg.Events.Counts()[event.RequestRefused.Kind().Name], uint64(3))
}

// Guards against an order that is accepted late in a shutdown, since such orders are usually quick, and that the node's end cuts.
func TestOrdersThatMayOutlastNodeAreRefused(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(10, answer)
	tg.recordDurations("file", 10*time.Millisecond)
	tg.recordDurations("read", 10*time.Millisecond)
	tg.drainFor(time.Second, 3*time.Second) // requests take at most 4 s
	refusal := tg.serve(context.Background(), "file").refusal
	is.Equal(refusal.Code, result.Draining)
	is.True(refusal.NotRun())
	is.Equal(len(tg.upstreams.sent), 0)
	is.Equal(tg.serve(context.Background(), "read").status, http.StatusOK) // may be repeated
	is.Equal(tg.serveWithin("file", 2*time.Second).status, http.StatusOK)  // certainly ends in time
}

// Guards against error responses, which end at once, making a route look fast.
func TestFailuresDoNotCountAsUsualDurations(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(10, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return newResponse(http.StatusNotFound, false, strings.NewReader("no such item")), nil
	})
	tg.recordDurations("read", 3500*time.Millisecond)
	for range 64 {
		is.Equal(tg.serve(context.Background(), "read").status, http.StatusNotFound)
	}
	tg.drainFor(time.Second, 3*time.Second)
	is.Equal(tg.serve(context.Background(), "read").refusal.Code, result.Draining)
}

// Guards against sending a request again that the node's end would then cut: a request that
// didn't run is refused, so that its caller can go elsewhere.
func TestNoRetryThatMayOutlastNode(t *testing.T) {
	is := is.New(t)
	var tg *testGateway
	tg = newTestGateway(10, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		tg.drainFor(0, time.Second)
		return nil, ErrNotSent
	})
	tg.recordDurations("file", 2*time.Second)
	refusal := tg.serve(context.Background(), "file").refusal
	is.Equal(refusal.Code, result.Draining)
	is.True(refusal.NotRun())
	is.Equal(len(tg.upstreams.sent), 1)
}

// Guards against requests that end with the node without a final answer or a log line.
func TestOpenRequestsEndWithTheNode(t *testing.T) {
	for _, draining := range []bool{false, true} {
		is := is.New(t)
		ctx, end := context.WithCancelCause(context.Background())
		tg := newTestGateway(10, func(ctx context.Context, u *directory.Upstream, d *Dispatch) (*Response, error) {
			end(drain.ErrNodeEnds)
			return hang(ctx, u, d)
		})
		if draining { // accepted during the shutdown
			tg.drainFor(time.Second, 10*time.Second)
		}
		c := tg.serve(ctx, "file")
		is.True(!c.aborted)
		is.Equal(c.refusal.Code, result.OutcomeUnknown)
		is.True(strings.Contains(c.refusal.Message, drain.ErrNodeEnds.Error()))

		ctx, end = context.WithCancelCause(context.Background())
		tg.upstreams.respond = func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
			return newResponse(http.StatusOK, true, &endingBody{head: numberedEvents(1, 3), end: func() { end(drain.ErrNodeEnds) }}), nil
		}
		c = tg.serve(ctx, "once")
		is.True(c.aborted) // a cut stream must not look complete
		is.Equal(tg.Events.Counts()[event.RequestFailed.Kind().Name], uint64(1))
		is.Equal(tg.share.Status("one").Reserved, int64(0))
	}
}

// Guards against telling a caller whose request never left the node to wait for an upstream.
func TestUnsentRequestEndsWithTheNodeAsRefusal(t *testing.T) {
	is := is.New(t)
	ctx, end := context.WithCancelCause(context.Background())
	tg := newTestGateway(10, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		end(drain.ErrNodeEnds)
		return nil, ErrNotSent
	})
	refusal := tg.serve(ctx, "file").refusal
	is.Equal(refusal.Code, result.Draining)
	is.True(refusal.NotRun())
}

// endingBody is a body during which the node ends.
type endingBody struct {
	head string
	end  func()
}

func (b *endingBody) Read(p []byte) (int, error) {
	if b.head == "" {
		b.end()
		return 0, errors.New("closed")
	}
	n := copy(p, b.head)
	b.head = b.head[n:]
	return n, nil
}
