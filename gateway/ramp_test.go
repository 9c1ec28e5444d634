package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/throttle"
)

// newRampGateway returns a test gateway that ramps up all upstreams, of whose slots this node has a share.
func newRampGateway(share float64, respond responder) *testGateway {
	tg := newTestGateway(100, respond)
	tg.RampStart = func(e directory.Entry) (throttle.RampStart, bool) {
		return throttle.RampStart{Slots: e.Slots, Part: throttle.Part{Share: share, Senders: 1}, Usual: time.Second}, true
	}
	return tg
}

// keepOnly removes all upstreams but the first one, which it returns.
func (tg *testGateway) keepOnly() *directory.Upstream {
	for i := 1; i < 4; i++ {
		tg.Directory.Remove(fmt.Sprintf("u%d", i))
	}
	return tg.Directory.Current().Upstreams("s")[0]
}

// Guards against sending all requests at once to an upstream that answers again after it couldn't be reached, and against a
// ramp that learns nothing from answers and refusals; nothing of that where ramps aren't enabled.
func TestUpstreamThatRecoversIsRampedUp(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		is := is.New(t)
		down, refuses := true, false
		var tg *testGateway
		tg = newRampGateway(1, func(_ context.Context, u *directory.Upstream, _ *Dispatch) (*Response, error) {
			switch {
			case down:
				return nil, fmt.Errorf("%w: refused", ErrNotSent)
			case refuses:
				resp := newResponse(http.StatusServiceUnavailable, false, strings.NewReader(""))
				resp.NotRun = true
				return resp, nil
			}
			u.ObserveLoad(1, 0, tg.clock.Now())
			return newResponse(http.StatusOK, false, strings.NewReader("ok")), nil
		})
		if !enabled {
			tg.RampStart = nil
		}
		u := tg.keepOnly()
		tg.serve(context.Background(), "read")
		is.Equal(u.Throttle.Ramping(), enabled)
		_, news := u.Throttle.TakeRampReport(tg.clock.Now())
		is.True(!news) // it doesn't begin before an answer
		down = false
		tg.clock.Advance(time.Minute / 6)
		is.Equal(tg.serve(context.Background(), "read").status, http.StatusOK)
		report, news := u.Throttle.TakeRampReport(tg.clock.Now())
		is.Equal(news, enabled)
		is.Equal(report.Recovered, enabled)
		refuses = true
		tg.clock.Advance(5 * time.Second)
		tg.serve(context.Background(), "read")
		report, _ = u.Throttle.TakeRampReport(tg.clock.Now() + time.Minute)
		if enabled {
			is.Equal(report.Answers, 1)
			is.Equal(report.Refusals, 1)
		}
	}
}

// Guards against sending to a ramped upstream what others have room for, and against refusing for a ramp what nobody
// else can take.
func TestRampSendsElsewhereButRefusesNothing(t *testing.T) {
	is := is.New(t)
	var sentTo []string
	tg := newRampGateway(1e-6, func(_ context.Context, u *directory.Upstream, _ *Dispatch) (*Response, error) {
		sentTo = append(sentTo, u.ID)
		return newResponse(http.StatusOK, false, strings.NewReader("ok")), nil
	})
	u := tg.Directory.Current().Upstreams("s")[0]
	start, _ := tg.RampStart(u.Entry)
	u.Throttle.BeginRamp(start, tg.clock.Now(), 0)
	for range 20 {
		is.Equal(tg.serve(context.Background(), "read").status, http.StatusOK)
	}
	for _, id := range sentTo {
		is.True(id != u.ID)
	}
	tg.keepOnly()
	tg.Catalog.Current().Match("h", "/read/").Objective = 0 // the test's clock stands still: it must not wait for room
	is.Equal(tg.serve(context.Background(), "read").status, http.StatusOK)
	is.Equal(sentTo[len(sentTo)-1], u.ID)
	is.Equal(u.InFlight.Load(), int64(0))
}
