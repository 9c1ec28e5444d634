package check

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/internal/fake"
)

// A node serves a request and dies with the events in its memory. The other nodes can still
// show the timeline of that request.
func TestTimelineShowsRequestOfDeadNode(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := NewHarness(fake.NewClock(), 1)
		is.NoErr(h.Start(DefaultTiming(), RegionHome, RegionHome, RegionAway))
		defer h.Stop()
		is.NoErr(h.ApplyConfig(fixtureResources()...))
		h.TopUp(h.Members[0], "first", budgetOf("rich"), 10_000)
		op := h.Chat(h.Members[1], "rich", fixtureModel, promptOf("told", minWords))
		is.True(op.OK())
		h.clock.Sleep(10 * time.Second)
		h.Members[1].Kill()
		h.clock.Sleep(time.Minute)

		seen := map[string]bool{}
		last := uint64(0)
		timeline := h.Members[0].Node().Timeline(context.Background(), op.Request, true)
		for _, e := range timeline.GetEvents() {
			seen[e.GetName()] = true
			is.True(e.GetHlc() > last) // causal order, each event once
			last = e.GetHlc()
		}
		for _, want := range []event.Number{event.RequestAdmitted, event.RequestDispatched, event.RequestFinished} {
			is.True(seen[want.Kind().Name])
		}
	})
}
