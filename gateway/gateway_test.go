package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/lending"
	"lavenderpin.dev/lavenderpin/placement"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/repeats"
	"lavenderpin.dev/lavenderpin/result"
)

// script decides how an upstream answers.
type script func(ctx context.Context, u *directory.Upstream, d *Dispatch) (*Response, error)

// upstreams is a fake that records what was sent.
type upstreams struct {
	mu     sync.Mutex
	sent   []*Dispatch
	script script
}

func (f *upstreams) Send(ctx context.Context, u *directory.Upstream, d *Dispatch) (*Response, error) {
	f.mu.Lock()
	f.sent = append(f.sent, d)
	f.mu.Unlock()
	return f.script(ctx, u, d)
}

// caller is a sink that records what the caller got.
type caller struct {
	refusal *result.Error
	status  int
	body    strings.Builder
	aborted bool
	// gone makes writes fail.
	gone bool
}

func (c *caller) Refuse(e *result.Error)                   { c.refusal = e }
func (c *caller) Start(status int, _ http.Header, _ int64) { c.status = status }
func (c *caller) Flush() error                             { return nil }
func (c *caller) Abort()                                   { c.aborted = true }
func (c *caller) Write(p []byte) error {
	if c.gone {
		return errors.New("gone")
	}
	c.body.Write(p)
	return nil
}

// bed is a gateway between fakes.
type bed struct {
	*Gateway
	up    *upstreams
	clock *bootclock.Fake
	share *prepaid.Share
}

const window = 10 * time.Second

func newBed(extra float64, s script) *bed {
	clock := &bootclock.Fake{}
	clock.Advance(time.Hour)
	b := &bed{up: &upstreams{script: s}, clock: clock}
	holder := &catalog.Holder{}
	route := func(name string, kind catalog.Kind, attempts int, resumable bool) *catalog.Route {
		return &catalog.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second, Objective: 100 * time.Millisecond,
			MaxGap: 20 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable, Split: []catalog.WeightedService{{Service: "s", Weight: 1}}}
	}
	holder.Publish(catalog.NewView(1, catalog.Limits{}, []*catalog.Route{route("read", catalog.Idempotent, 2, false), route("file", catalog.NonIdempotent, 1, false),
		route("stream", catalog.Streaming, 2, true), route("once", catalog.Streaming, 1, false)},
		[]*catalog.Service{{Name: "s", Engine: &catalog.Engine{TokensPerEvent: 6}}}, []*catalog.Account{{Name: "one", Prepaid: 1_000_000, HasPrepaid: true}}, map[string]string{"k": "one"}))
	table := directory.NewTable(clock)
	for i := range 4 {
		table.Put(directory.Entry{ID: fmt.Sprintf("u%d", i), Service: "s", DataCentre: "dc", Slots: 4, State: directory.Ready})
	}
	b.share = prepaid.NewShare(prepaid.DefaultSettings(), prepaid.Clocks{Boot: clock, Wall: clock.TimeOfDay()}, prepaid.Holder{Node: "n", Region: "r", Incarnation: "i", BootID: "boot"})
	b.share.Apply(prepaid.Grant{Node: "n", Incarnation: "i", Epoch: 1, Lines: []prepaid.GrantLine{{Account: "one", Ceiling: 500_000, Remaining: 1_000_000, Prepaid: 1_000_000}}})
	report := func(context.Context) error { b.share.Compose(); b.share.Acknowledge(); return nil }
	b.Gateway = New(DefaultSettings(), Deps{Clock: clock, Catalog: holder, Directory: table, Picker: placement.NewPicker(placement.DefaultSettings(), nil),
		Share: b.share, Upstreams: b.up, Events: event.NewRecorder(event.NewHLC(clockwork.NewFakeClock()), "n", 64, log.NewNopLogger()), Metrics: NewMetrics(false),
		Borrower: lending.NewBorrower(nil, clock, "n", func(string) []lending.Peer { return nil }), ReportUsage: report, LiveNodes: func() int { return 1 },
		RetryLimits: repeats.Limits{Ratio: 0.2, Extra: extra, Window: window}, DataCentre: "dc", Region: "r"})
	return b
}

func (b *bed) serve(ctx context.Context, route string) *caller {
	c := &caller{}
	b.Serve(ctx, b.request(route), c)
	return c
}

func (b *bed) request(route string) *Request {
	return &Request{ID: "id", Method: http.MethodPost, Target: "/" + route + "/", Path: "/" + route + "/", Host: "h", Key: "k",
		TimeLeft: 4 * time.Second, Arrived: b.clock.Now(), PromptTokens: 100, MaxOutput: 600}
}

func answer(status int, events bool, body io.Reader) *Response {
	return &Response{Status: status, Header: http.Header{}, Length: -1, Signed: true, IsEventStream: events, Body: body, Close: func() {}}
}

func numbered(from, to int) string {
	var s strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&s, "id: %d\ndata: x\n\n", id)
	}
	return s.String()
}

// cutAfter is a body that breaks off.
func cutAfter(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), errReader{})
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func silent(ctx context.Context, _ *directory.Upstream, _ *Dispatch) (*Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// An engine goes dark with a request that may be repeated. Its caller must not wait until
// the deadline while other engines are free; and the second engine is asked once only.
func TestSilentUpstreamIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	var b *bed
	b = newBed(100, func(ctx context.Context, u *directory.Upstream, d *Dispatch) (*Response, error) {
		if len(b.up.sent) == 1 {
			return silent(ctx, u, d)
		}
		return answer(200, false, strings.NewReader("ok")), nil
	})
	c := b.serve(context.Background(), "read")
	is.Equal(c.status, 200)
	is.Equal(c.body.String(), "ok")
	is.Equal(len(b.up.sent), 2)
}

// The same with a request that must run at most once: it may have run, so it is never
// sent again, and the answer doesn't claim that it didn't run.
func TestNonIdempotentIsNotRetriedAfterSilence(t *testing.T) {
	is := is.New(t)
	b := newBed(100, silent)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	c := b.serve(ctx, "file")
	is.Equal(len(b.up.sent), 1)
	is.True(c.refusal != nil)
	is.True(!c.refusal.NotRun())
}

// A broken connection is not a "not run" either.
func TestNonIdempotentIsNotRetriedAfterReset(t *testing.T) {
	is := is.New(t)
	b := newBed(100, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return nil, errors.New("reset")
	})
	c := b.serve(context.Background(), "file")
	is.Equal(len(b.up.sent), 1)
	is.Equal(c.refusal.Code, result.OutcomeUnknown)
}

// Nothing listens at the first upstreams. Nothing was sent, so an order may try others.
func TestUnsentNonIdempotentIsRetried(t *testing.T) {
	is := is.New(t)
	var b *bed
	b = newBed(100, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		if len(b.up.sent) < 3 {
			return nil, fmt.Errorf("%w: refused", ErrNotSent)
		}
		return answer(200, false, strings.NewReader("ok")), nil
	})
	is.Equal(b.serve(context.Background(), "file").status, 200)
	is.Equal(len(b.up.sent), 3)
}

// Every upstream refuses for want of room. The budget for repeats bounds what the node
// adds to that, and each caller learns at once that nothing ran and when to come back.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBed(10, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		a := answer(503, false, strings.NewReader(""))
		a.NotRun = true
		return a, nil
	})
	for range 50 {
		c := b.serve(context.Background(), "file")
		is.True(c.refusal.NotRun())
		is.True(c.refusal.RetryAfter > 0)
	}
	is.True(len(b.up.sent) <= 50+10+10) // the requests, a fifth of them, and the fixed number
}

// A stream is cut within its fourth event and another engine goes on. The caller sees
// each event once, in order, also when the other engine repeats some.
func TestResumedStreamDeliversEachEventOnce(t *testing.T) {
	is := is.New(t)
	var b *bed
	b = newBed(100, func(_ context.Context, _ *directory.Upstream, d *Dispatch) (*Response, error) {
		if len(b.up.sent) == 1 {
			return answer(200, true, cutAfter(numbered(1, 3)+"id: 4\nda")), nil
		}
		is.Equal(d.LastEventID, int64(3))
		return answer(200, true, strings.NewReader(numbered(2, 6))), nil
	})
	c := b.serve(context.Background(), "stream")
	is.Equal(c.body.String(), numbered(1, 6))
	is.True(!c.aborted)
	is.Equal(b.share.Status("one").Spent, int64(100+6*6))
	is.Equal(b.share.Status("one").Reserved, int64(0))
}

// A stream that can't resume is cut. The answer must not end as if it were whole, and the
// account pays for the prompt and what was delivered.
func TestTruncatedStreamIsAborted(t *testing.T) {
	is := is.New(t)
	b := newBed(100, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return answer(200, true, cutAfter(numbered(1, 3))), nil
	})
	c := b.serve(context.Background(), "once")
	is.True(c.aborted)
	is.Equal(len(b.up.sent), 1)
	is.Equal(b.share.Status("one").Spent, int64(100+3*6))
}

// The caller has gone when the second event is written. Nothing is sent elsewhere for it.
func TestNoRetryAfterCallerDisconnects(t *testing.T) {
	is := is.New(t)
	b := newBed(100, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return answer(200, true, strings.NewReader(numbered(1, 3))), nil
	})
	c := &caller{gone: true}
	b.Serve(context.Background(), b.request("stream"), c)
	is.True(c.aborted)
	is.Equal(len(b.up.sent), 1)
}

// A request that never ran costs its account nothing, whatever was set aside for it.
func TestUnexecutedRequestCostsNothing(t *testing.T) {
	is := is.New(t)
	b := newBed(100, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) { return nil, ErrNotSent })
	b.serve(context.Background(), "once")
	is.Equal(b.share.Status("one").Spent, int64(0))
	is.Equal(b.share.Status("one").Reserved, int64(0))
}

// The time that a caller waits counts from when its request was read, also while the
// machine was suspended; an upstream is told what is left of it.
func TestUpstreamsReceiveRemainingTime(t *testing.T) {
	is := is.New(t)
	b := newBed(100, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return answer(200, false, strings.NewReader("ok")), nil
	})
	r := b.request("read")
	b.clock.Advance(3 * time.Second)
	b.Serve(context.Background(), r, &caller{})
	is.Equal(b.up.sent[0].Remaining, time.Second)
	late := &caller{}
	b.clock.Advance(time.Second)
	b.Serve(context.Background(), r, late)
	is.True(late.refusal.NotRun())
	is.Equal(len(b.up.sent), 1)
}
