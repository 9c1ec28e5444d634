package gateway

import (
	"context"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/result"
)

// newMemoryGateway returns a gateway whose engines hold 2,000 tokens and report a number of figures.
func newMemoryGateway(figures int, respond responder) *testGateway {
	tg := newTestGateway(100, respond)
	tg.Catalog.Current().Service("s").Engine.KVCapacity = 2_000
	for _, u := range tg.Directory.Current().Upstreams("s") {
		report := directory.LoadReport{Slots: 4}
		if figures > 3 {
			report.Slowdown = 1
		}
		u.ObserveReport(report, tg.clock.Now())
	}
	return tg
}

// Guards against sending an engine a request that crashes it, against refusing one that an upstream of the earlier kind may
// take, and against memory that stays held after a request.
func TestRequestsLargerThanMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	respond := func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return newResponse(200, true, strings.NewReader(numberedEvents(1, 3))), nil
	}
	serve := func(tg *testGateway, prompt, output int64) *recordingSink {
		r, sink := tg.request("stream"), &recordingSink{}
		r.PromptTokens, r.MaxOutput, r.Key = prompt, output, "k"
		tg.Serve(context.Background(), r, sink)
		return sink
	}
	tg := newMemoryGateway(4, respond)
	for range 10 { // one after the other
		is.Equal(serve(tg, 1_000, 1_000).status, 200)
	}
	for _, u := range tg.Directory.Current().Upstreams("s") {
		is.Equal(u.HeldTokens(), int64(0))
	}
	for _, output := range []int64{1_001, math.MaxInt64} {
		sink := serve(tg, 1_000, output)
		is.Equal(sink.refusal.Code, result.TokensOutOfRange)
	}
	is.Equal(len(tg.upstreams.sent), 10)
	is.Equal(serve(newMemoryGateway(3, respond), 1_000, 1_001).status, 200)
}

// Guards against opening a request while others hold the memory, and against an error that asks the caller not to retry.
func TestTakenMemoryIsRefusedUntilReleased(t *testing.T) {
	is := is.New(t)
	tg := newMemoryGateway(4, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return newResponse(200, true, strings.NewReader(numberedEvents(1, 3))), nil
	})
	upstreams := tg.Directory.Current().Upstreams("s")
	for _, u := range upstreams {
		is.True(u.HoldTokens(1_500, 2_000))
	}
	tg.waitingForRoom.Store(maxWaitingForRoom) // no more may wait
	sink := tg.serve(context.Background(), "stream")
	is.Equal(sink.refusal.Code, result.Overloaded)
	upstreams[2].ReleaseTokens(1_500)
	is.Equal(tg.serve(context.Background(), "stream").status, 200)
}
