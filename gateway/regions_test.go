package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/result"
)

// newRegionGateway returns a test gateway with upstreams in data centres of two regions, whose routes and account
// may be limited to regions. Upstreams respond as respond says.
func newRegionGateway(route, account catalog.Regions, respond responder) *testGateway {
	tg := newTestGateway(100, respond)
	for i, dataCentre := range []string{"n1", "n2", "s1", "s2"} {
		tg.Directory.Remove(fmt.Sprintf("u%d", i))
		tg.Directory.Put(directory.Entry{ID: "r" + dataCentre, Service: "s", Version: "v1", DataCentre: dataCentre, Slots: 4, State: directory.Ready, Sequence: int64(i)})
	}
	tg.Regions = map[string]string{"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
	view := tg.Catalog.Current()
	for _, name := range []string{"read", "stream"} {
		view.Match("h", "/"+name+"/").Regions = route
	}
	view.Account("one").Regions = account
	return tg
}

// Guards against a request that leaves its regions, at first, when it is retried or when its stream goes on, as the
// route and the account allow them.
func TestRequestStaysInItsRegions(t *testing.T) {
	for name, sets := range map[string][2]catalog.Regions{
		"route":   {catalog.OnlyRegions("south"), {}},
		"account": {{}, catalog.OnlyRegions("south")},
		"both":    {catalog.OnlyRegions("north", "south"), catalog.OnlyRegions("south")},
	} {
		for _, route := range []string{"read", "stream"} {
			t.Run(name+"/"+route, func(t *testing.T) {
				is := is.New(t)
				var sentTo []string
				tg := newRegionGateway(sets[0], sets[1], func(_ context.Context, u *directory.Upstream, d *Dispatch) (*Response, error) {
					sentTo = append(sentTo, u.DataCentre)
					is.True(d.Regions.Allow("south") && !d.Regions.Allow("north")) // the body may pass through no other nodes
					if route == "stream" {
						return newResponse(http.StatusOK, true, truncatedBody(numberedEvents(1, 2))), nil
					}
					return nil, errors.New("reset")
				})
				tg.serve(context.Background(), route)
				is.True(len(sentTo) == 2)
				for _, dataCentre := range sentTo {
					is.Equal(tg.Regions[dataCentre], "south")
				}
			})
		}
	}
}

// Guards against holding a request that no allowed region can serve, and against sending it elsewhere.
func TestRequestWithoutUpstreamInItsRegionsIsRefusedAtOnce(t *testing.T) {
	for name, regions := range map[string][2]catalog.Regions{
		"unknown region": {catalog.OnlyRegions("west"), {}},
		"none in common": {catalog.OnlyRegions("north"), catalog.OnlyRegions("south")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := newRegionGateway(regions[0], regions[1], func(context.Context, *directory.Upstream, *Dispatch) (*Response, error) {
				return newResponse(http.StatusOK, false, strings.NewReader("ok")), nil
			})
			sink := tg.serve(context.Background(), "read")
			is.Equal(len(tg.upstreams.sent), 0)
			is.Equal(sink.refusal.Code, result.RegionUnavailable)
			is.True(sink.refusal.RetryAfter > 0)
			is.Equal(tg.share.Status("one").Reserved, int64(0))
		})
	}
}

// Guards against sending to an evacuated data centre, and to the other region while one is evacuated.
func TestEvacuationOfWholeRegion(t *testing.T) {
	is := is.New(t)
	tg := newRegionGateway(catalog.OnlyRegions("south"), catalog.Regions{}, func(_ context.Context, u *directory.Upstream, _ *Dispatch) (*Response, error) {
		is.Equal(u.DataCentre, "s2")
		return newResponse(http.StatusOK, false, strings.NewReader("ok")), nil
	})
	tg.Directory.SetEvacuated(map[string]bool{"s1": true})
	for range 20 {
		is.Equal(tg.serve(context.Background(), "read").status, http.StatusOK)
	}
	tg.Directory.SetEvacuated(map[string]bool{"s1": true, "s2": true})
	is.Equal(tg.serve(context.Background(), "read").refusal.Code, result.RegionUnavailable)
}
