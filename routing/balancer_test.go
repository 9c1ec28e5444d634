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

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engines(region string, n int) []*operatorv1.Upstream {
	var list []*operatorv1.Upstream
	for i := range n {
		list = append(list, &operatorv1.Upstream{Name: fmt.Sprintf("%s-%d", region, i), Service: chat, Region: region, Slots: 16})
	}
	return list
}

func newTestBalancer() (*Balancer, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(testStart)
	return NewBalancer(DefaultSettings(), clock, rand.New(rand.NewPCG(1, 2)).Uint64, nil), clock
}

func ask() Request { return Request{Service: chat, Region: "north", PromptTokens: 1000} }

// picks counts where n requests go that end at once.
func picks(t *testing.T, b *Balancer, a Request, list []*operatorv1.Upstream, n int) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for range n {
		p, err := b.Pick(a, list)
		is.New(t).NoErr(err)
		counts[p.Upstream.GetName()]++
		p.Done(nil)
	}
	return counts
}

// An operator takes an engine out of service, or a request failed there already.
// Work sent there would fail again.
func TestDrainingAndTriedUpstreamsExcluded(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 3)
	list[0].Draining = true
	a := ask()
	a.Tried = map[string]bool{"north-1": true}
	is.Equal(picks(t, b, a, list, 50), map[string]int{"north-2": 50})
	a.Tried["north-2"] = true
	_, err := b.Pick(a, list)
	is.Equal(result.CodeOf(err), result.NoUpstream)
}

func TestRemoteRegionUsedOnlyWhenLocalIsOverloaded(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := append(engines("north", 2), engines("south", 2)...)
	counts := picks(t, b, ask(), list, 100)
	is.Equal(counts["north-0"]+counts["north-1"], 100)
	for _, name := range []string{"north-0", "north-1"} {
		b.Report(chat, name, LoadReport{Running: 16, Waiting: 320})
	}
	counts = picks(t, b, ask(), list, 100)
	is.Equal(counts["south-0"]+counts["south-1"], 100)
}

// All callers of one region come at once while the other region idles. Refusing them
// would be a false refusal; what this region can't take goes over the link, but only
// to a region that is heard of.
func TestLocalLimitSpillsToRemoteRegion(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := append(engines("north", 2), engines("south", 2)...)
	_ = picks(t, b, ask(), list, 1)
	b.Report(chat, "south-0", LoadReport{})
	b.Report(chat, "south-1", LoadReport{})
	b.LimitLocal(chat, 3)
	regions := map[string]int{}
	for range 10 {
		p, err := b.Pick(ask(), list)
		is.NoErr(err)
		regions[p.Upstream.GetRegion()]++
	}
	is.Equal(regions, map[string]int{"north": 3, "south": 7})
	clock.Advance(DefaultSettings().MaxReportAge + time.Second)
	p, err := b.Pick(ask(), list)
	is.NoErr(err)
	is.Equal(p.Upstream.GetRegion(), "north")
}

func TestPromptGoesToEngineWithCachedPrefix(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 10)
	a := ask()
	a.Prefix = []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	first, err := b.Pick(a, list)
	is.NoErr(err)
	first.Done(nil)
	is.Equal(picks(t, b, a, list, 100), map[string]int{first.Upstream.GetName(): 100})
}

// An engine restarts with an empty cache. Its callers would wait for whole prompts to
// be prefilled if all went on being sent to it.
func TestEngineRestartClearsItsPrefixes(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 10)
	a := ask()
	a.Prefix = []uint64{1, 2, 3}
	_ = picks(t, b, ask(), list, 1)
	b.CacheEvents(chat, "north-4", []CacheEvent{{7, 1, true}, {8, 2, true}, {9, 3, true}})
	b.CacheEvents(chat, "north-4", []CacheEvent{{1, 99, true}})
	is.True(picks(t, b, ask(), list, 100)["north-4"] < 50)
	is.Equal(b.EventGaps(), uint64(0))
}

// An engine takes requests and never answers. Until their timeouts pass no request
// fails, so without the watch for owed tokens callers would go on being sent there.
func TestStalledUpstreamExcludedBeforeTimeouts(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 4)
	p, err := b.Pick(ask(), list)
	is.NoErr(err)
	clock.Advance(DefaultSettings().StallTimeout + time.Second)
	for range 60 { // the others get so busy that it would look best
		other, err := b.Pick(ask(), list)
		is.NoErr(err)
		is.True(other.Upstream != p.Upstream)
	}
}

// This node was paused for seconds: every engine seems to owe answers. Were all but
// one left out, that one would be flooded.
func TestNodePauseDoesNotExcludeAllUpstreams(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 4)
	for range 200 {
		_, err := b.Pick(ask(), list)
		is.NoErr(err)
	}
	clock.Advance(time.Minute)
	is.True(len(picks(t, b, ask(), list, 200)) >= 3)
}

// An engine hands out other callers' answers. One is enough: it gets no work until
// its pause is over.
func TestCrossedAnswerExcludesUpstream(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 4)
	p, err := b.Pick(ask(), list)
	is.NoErr(err)
	p.Done(result.New(result.AnswerCrossed, "for another"))
	is.Equal(picks(t, b, ask(), list, 100)[p.Upstream.GetName()], 0)
}

// Every engine failed, as when this node's own network is cut. Refusing everything
// until the pauses end would turn a blink into seconds of false refusals.
func TestAllUnhealthyUpstreamsAreStillUsed(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 2)
	for range 20 {
		p, err := b.Pick(ask(), list)
		is.NoErr(err)
		p.Done(result.New(result.UpstreamFailed, "failed"))
	}
	is.Equal(len(picks(t, b, ask(), list, 50)), 2)
}

// Another node filled an engine that this node's report shows idle. The report is old,
// so it must not draw everything.
func TestNoHerdingOnLeastLoadedEngine(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 10)
	_ = picks(t, b, ask(), list, 1)
	for i := range list {
		load := 8
		if i == 3 {
			load = 0
		}
		b.Report(chat, list[i].GetName(), LoadReport{Running: load})
	}
	is.True(picks(t, b, ask(), list, 1000)["north-3"] < 400)
}

// An engine hangs with requests waiting; its last report says so for ever. Were it
// believed, admission would sink to nothing while the other engines idle.
func TestOldReportsExcludedFromPressure(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 2)
	_ = picks(t, b, ask(), list, 1)
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
	a := ask()
	a.Model, a.Adapter = "small", "price"
	_ = picks(t, b, ask(), list, 1)
	b.Report(chat, "north-0", LoadReport{Models: []LoadedModel{{Model: "small", Adapters: []string{"mooring"}}}})
	is.Equal(picks(t, b, a, list, 50), map[string]int{"north-1": 50})
}

func TestJoiningEngineIsSlowStarted(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 4)
	_ = picks(t, b, ask(), list, 1)
	grown := append(engines("north", 4), engines("fresh", 1)...)
	grown[4].Region = "north"
	is.True(picks(t, b, ask(), grown, 1000)["fresh-0"] < 50)
	clock.Advance(time.Minute)
	is.True(picks(t, b, ask(), grown, 1000)["fresh-0"] > 100)
}

func TestLateFirstTokenDoesNotAffectReusedAttempt(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 1)
	old, _ := b.Pick(ask(), list)
	old.Done(nil)
	next, _ := b.Pick(ask(), list)
	old.FirstToken()
	_, held := b.find(chat, "north-0")
	is.Equal(held.owing.Load(), int64(1))
	next.Done(nil)
	is.Equal([]int64{held.owing.Load(), held.requests.now(), held.pending.now()}, []int64{0, 0, 0})
}

func BenchmarkPick200(b *testing.B) {
	balancer := NewBalancer(DefaultSettings(), clockwork.NewRealClock(), rand.Uint64, nil)
	list := append(engines("north", 120), engines("south", 80)...)
	a := ask()
	for i := range 32 {
		a.Prefix = append(a.Prefix, uint64(i+1))
	}
	for i := range list {
		p, _ := balancer.Pick(a, list)
		p.Done(nil)
		balancer.Report(chat, list[i].GetName(), LoadReport{Running: i % 16, PendingTokens: i * 10})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		p, err := balancer.Pick(a, list)
		if err != nil {
			b.Fatal(err)
		}
		p.FirstToken()
		p.Done(nil)
	}
}
