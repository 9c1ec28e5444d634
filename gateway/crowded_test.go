package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/linkload"
	"lavenderpin.dev/lavenderpin/result"
)

// Guards against a node that reads long bodies on a crowded link, one that refuses them though nothing is crowded or nobody asked
// for it, and one that refuses what it can't judge or the rest of a stream.
func TestCrowdedLinkRefusesLongRequests(t *testing.T) {
	is := is.New(t)
	tg := newTestGateway(100, nil)
	ask := func(h Head) (n int) {
		h.ID, h.Host, h.Key = "id", "h", "k"
		for range 100 {
			tg.clock.Advance(time.Millisecond)
			sink := &recordingSink{}
			if tg.RefuseCrowded(&h, sink) {
				is.Equal(sink.refusal.Code, result.LinkCrowded)
				is.True(sink.refusal.NotRun())
				is.True(sink.refusal.RetryAfter >= tg.settings.Shedding.MinRetryDelay)
				n++
			}
		}
		return n
	}
	short, long := Head{Path: "/read/", BodyBytes: 800}, Head{Path: "/file/", BodyBytes: 12_000}
	is.Equal(ask(long), 0) // not enabled
	state := linkload.Link{Speed: 500_000}
	tg.LinkAdmission, tg.LinkState = linkload.NewAdmission(linkload.DefaultSettings()), func() linkload.Link { return state }
	is.Equal(ask(short)+ask(long), 0)
	is.True(!tg.LinkCrowded())
	state.Delay, state.Use = time.Second, 1
	is.Equal(ask(short), 0)
	is.True(ask(long) > 50)
	is.True(tg.LinkCrowded())
	resumed, unknown := long, long
	resumed.Resumes, unknown.Path = true, "/unknown/"
	is.Equal(ask(resumed)+ask(unknown), 0)
	is.Equal(len(tg.upstreams.sent), 0)
	is.Equal(tg.Metrics.linkAdmission.Get("refused").String(), tg.Metrics.refused.Get(result.LinkCrowded.String()).String())
}

// Guards against a response whose size isn't known to the decision on the next request of its route.
func TestResponsesAreMeasured(t *testing.T) {
	is := is.New(t)
	stream := numberedEvents(1, 50)
	tg := newTestGateway(100, func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
		return newResponse(200, true, strings.NewReader(stream)), nil
	})
	tg.LinkAdmission, tg.LinkState = linkload.NewAdmission(linkload.DefaultSettings()), func() linkload.Link { return linkload.Link{Speed: 1e6} }
	is.Equal(tg.serve(context.Background(), "stream").body.String(), stream)
	asked := linkload.Request{Route: "stream", MaxOutput: 600} // as the request did
	is.Equal(tg.LinkAdmission.Decide(tg.clock.Now(), tg.LinkState(), asked, 0).Saved, int64(len(stream)))
}
