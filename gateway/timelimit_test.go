package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/internal/bubble"
	"lavenderpin.dev/lavenderpin/result"
)

// Guards against a time-out that begins when a request is handled: behind a full link its caller has waited before, and waits
// for the answer.
func TestWaitOnTheLinkIsTakenOffTheTimeout(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(100, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return newResponse(200, false, strings.NewReader("ok")), nil
	})
	delay := time.Duration(0)
	tg.LinkDelay = func() time.Duration { return delay }
	is.Equal(tg.serve(context.Background(), "read").status, 200)
	is.Equal(tg.upstreams.sent[0].Remaining, 4*time.Second)
	delay = 1500 * time.Millisecond
	is.Equal(tg.serve(context.Background(), "read").status, 200)
	is.Equal(tg.upstreams.sent[1].Remaining, 2500*time.Millisecond)
	delay = 4 * time.Second
	late := tg.serve(context.Background(), "read")
	is.Equal(late.refusal.Code, result.ReadLate)
	is.True(late.refusal.NotRun())
	is.Equal(len(tg.upstreams.sent), 2)
}

// Guards against a request that waits for a report on its account's use for longer than its time-out.
func TestWaitForReportEndsWithTheTimeout(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		tg := newTestGateway(100, nil)
		reports := 0
		tg.ReportUsage = func(ctx context.Context) error {
			reports++
			<-ctx.Done()
			return ctx.Err()
		}
		began, sink := time.Now(), &recordingSink{}
		r := tg.request("read")
		r.TimeLeft, r.MaxOutput = 100*time.Millisecond, 400_000 // more than the node may spend before it reports
		tg.Serve(context.Background(), r, sink)
		is.True(reports > 0)
		is.True(sink.refusal != nil)
		is.True(sink.refusal.NotRun())
		is.True(time.Since(began) <= r.TimeLeft)
	})
}
