package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

const chat = "chat"

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engines(region string, n int) []*operatorv1.Upstream {
	var list []*operatorv1.Upstream
	for i := range n {
		list = append(list, &operatorv1.Upstream{Name: fmt.Sprintf("%s-%d", region, i), Service: chat, Region: region, Slots: 16})
	}
	return list
}

func newTestBalancer() (*Balancer, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(startTime)
	return NewBalancer(DefaultSettings(), clock, rand.New(rand.NewPCG(1, 2)).Uint64, nil), clock
}

func testRequest() Request { return Request{Service: chat, Region: "north", PromptTokens: 1000} }

// countPicks routes n requests that finish immediately and counts them per upstream.
func countPicks(t *testing.T, b *Balancer, request Request, list []*operatorv1.Upstream, n int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range n {
		p, err := b.Pick(request, list)
		is.New(t).NoErr(err)
		counts[p.Upstream.GetName()]++
		p.Done(nil)
	}
	return counts
}

// An engine is draining, or the request already failed there. Sent there, the request would
// fail again.
func TestDrainingAndTriedUpstreamsExcluded(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 3)
	list[0].Draining = true
	request := testRequest()
	request.Tried = map[string]bool{"north-1": true}
	is.Equal(countPicks(t, b, request, list, 50), map[string]int{"north-2": 50})
	request.Tried["north-2"] = true
	_, err := b.Pick(request, list)
	is.Equal(result.CodeOf(err), result.NoUpstream)
}

func TestRemoteRegionUsedOnlyWhenLocalIsOverloaded(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := append(engines("north", 2), engines("south", 2)...)
	counts := countPicks(t, b, testRequest(), list, 100)
	is.Equal(counts["north-0"]+counts["north-1"], 100)
	for _, name := range []string{"north-0", "north-1"} {
		b.Report(chat, name, LoadReport{Running: 16, Waiting: 320})
	}
	counts = countPicks(t, b, testRequest(), list, 100)
	is.Equal(counts["south-0"]+counts["south-1"], 100)
}

// One region is overloaded while the other is idle. Refusing the excess requests would be a false
// refusal; they spill to the other region, but only while its load reports are fresh.
func TestLocalLimitSpillsToRemoteRegion(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := append(engines("north", 2), engines("south", 2)...)
	_ = countPicks(t, b, testRequest(), list, 1)
	b.Report(chat, "south-0", LoadReport{})
	b.Report(chat, "south-1", LoadReport{})
	b.LimitLocal(chat, 3)
	regions := map[string]int{}
	for range 10 {
		p, err := b.Pick(testRequest(), list)
		is.NoErr(err)
		regions[p.Upstream.GetRegion()]++
	}
	is.Equal(regions, map[string]int{"north": 3, "south": 7})
	clock.Advance(DefaultSettings().MaxReportAge + time.Second)
	p, err := b.Pick(testRequest(), list)
	is.NoErr(err)
	is.Equal(p.Upstream.GetRegion(), "north")
}

func TestPromptGoesToEngineWithCachedPrefix(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 10)
	request := testRequest()
	request.Prefix = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	first, err := b.Pick(request, list)
	is.NoErr(err)
	first.Done(nil)
	is.Equal(countPicks(t, b, request, list, 100), map[string]int{first.Upstream.GetName(): 100})
}

// An engine restarts with an empty cache. Requests still routed to it for its old prefixes would
// wait for their whole prompt to be prefilled.
func TestEngineRestartClearsItsPrefixes(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 10)
	request := testRequest()
	request.Prefix = []uint64{1, 2, 3}
	_ = countPicks(t, b, testRequest(), list, 1)
	b.CacheEvents(chat, "north-4", []CacheEvent{{7, 1, true}, {8, 2, true}, {9, 3, true}})
	b.CacheEvents(chat, "north-4", []CacheEvent{{1, 99, true}})
	is.True(countPicks(t, b, testRequest(), list, 100)["north-4"] < 50)
	is.Equal(b.EventGaps(), uint64(0))
}

// An engine accepts requests and never answers. No request fails before its timeout, so without
// stall detection further requests would be routed there.
func TestStalledUpstreamExcludedBeforeTimeouts(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 4)
	p, err := b.Pick(testRequest(), list)
	is.NoErr(err)
	clock.Advance(DefaultSettings().StallTimeout + time.Second)
	for range 60 { // the others get so busy that the stalled one has the best score
		other, err := b.Pick(testRequest(), list)
		is.NoErr(err)
		is.True(other.Upstream != p.Upstream)
	}
}

// This node was paused for a minute, so every engine looks stalled. If all but one were excluded,
// that one would be flooded.
func TestNodePauseDoesNotExcludeAllUpstreams(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 4)
	for range 200 {
		_, err := b.Pick(testRequest(), list)
		is.NoErr(err)
	}
	clock.Advance(time.Minute)
	is.True(len(countPicks(t, b, testRequest(), list, 200)) >= 3)
}

// An engine returns another caller's answer. After one such answer it gets no requests until its
// breaker's open period ends.
func TestCrossedAnswerExcludesUpstream(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 4)
	p, err := b.Pick(testRequest(), list)
	is.NoErr(err)
	p.Done(result.New(result.AnswerCrossed, "for another"))
	is.Equal(countPicks(t, b, testRequest(), list, 100)[p.Upstream.GetName()], 0)
}

// Every engine failed, for example because this node lost its network. Refusing all requests
// until the breakers allow probes would turn a brief outage into seconds of false refusals.
func TestAllUnhealthyUpstreamsAreStillUsed(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 2)
	for range 20 {
		p, err := b.Pick(testRequest(), list)
		is.NoErr(err)
		p.Done(result.New(result.UpstreamFailed, "failed"))
	}
	is.Equal(len(countPicks(t, b, testRequest(), list, 50)), 2)
}

// Other nodes may have filled an engine that the latest report shows idle. The report lags, so
// the engine must not attract all requests.
func TestNoHerdingOnLeastLoadedEngine(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 10)
	_ = countPicks(t, b, testRequest(), list, 1)
	for i := range list {
		load := 8
		if i == 3 {
			load = 0
		}
		b.Report(chat, list[i].GetName(), LoadReport{Running: load})
	}
	is.True(countPicks(t, b, testRequest(), list, 1000)["north-3"] < 400)
}

// An engine hangs with a full queue and its last report is never replaced. If the report still
// counted, admission would fall to nothing while the other engines are idle.
func TestOldReportsExcludedFromPressure(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 2)
	_ = countPicks(t, b, testRequest(), list, 1)
	b.Report(chat, "north-0", LoadReport{Running: 16, Waiting: 40})
	here, _ := b.Pressure(chat, "north")
	is.Equal(here, Pressure{Running: 16, Waiting: 16, Slots: 16})
	clock.Advance(DefaultSettings().MaxReportAge + time.Second)
	b.Report(chat, "north-1", LoadReport{Running: 3})
	here, _ = b.Pressure(chat, "north")
	is.Equal(here, Pressure{Running: 3, Slots: 16})
}

func TestEngineWithoutModelExcluded(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 2)
	request := testRequest()
	request.Model, request.Adapter = "small", "price"
	_ = countPicks(t, b, testRequest(), list, 1)
	b.Report(chat, "north-0", LoadReport{Models: []LoadedModel{{Model: "small", Adapters: []string{"mooring"}}}})
	is.Equal(countPicks(t, b, request, list, 50), map[string]int{"north-1": 50})
}

func TestJoiningEngineIsSlowStarted(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 4)
	_ = countPicks(t, b, testRequest(), list, 1)
	grown := append(engines("north", 4), engines("fresh", 1)...)
	grown[4].Region = "north"
	is.True(countPicks(t, b, testRequest(), grown, 1000)["fresh-0"] < 50)
	clock.Advance(time.Minute)
	is.True(countPicks(t, b, testRequest(), grown, 1000)["fresh-0"] > 100)
}

func TestLateFirstTokenDoesNotAffectReusedAttempt(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 1)
	old, _ := b.Pick(testRequest(), list)
	old.Done(nil)
	next, _ := b.Pick(testRequest(), list)
	old.FirstToken()
	_, tgt := b.find(chat, "north-0")
	is.Equal(tgt.awaitingFirstToken.Load(), int64(1))
	next.Done(nil)
	is.Equal([]int64{tgt.awaitingFirstToken.Load(), tgt.requests.value(), tgt.pending.value()}, []int64{0, 0, 0})
}

func BenchmarkPick200(b *testing.B) {
	balancer := NewBalancer(DefaultSettings(), clockwork.NewRealClock(), rand.Uint64, nil)
	list := append(engines("north", 120), engines("south", 80)...)
	request := testRequest()
	for i := range 32 {
		request.Prefix = append(request.Prefix, uint64(i+1))
	}
	for i := range list {
		p, _ := balancer.Pick(request, list)
		p.Done(nil)
		balancer.Report(chat, list[i].GetName(), LoadReport{Running: i % 16, PendingTokens: i * 10})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		p, err := balancer.Pick(request, list)
		if err != nil {
			b.Fatal(err)
		}
		p.FirstToken()
		p.Done(nil)
	}
}
