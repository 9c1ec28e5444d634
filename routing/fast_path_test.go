package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
	"lavenderpin.dev/lavenderpin/result"
)

func TestLoadSpreadsEvenlyOverManyEngines(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := append(engines("north", 100), engines("south", 100)...)
	counts := countPicks(t, b, testRequest(), list, 20_000)
	for i := range 100 {
		is.True(counts[list[i].GetName()] > 100) // the mean is 200
		is.True(counts[list[i].GetName()] < 300)
		is.Equal(counts[list[100+i].GetName()], 0) // the other region
	}
}

func TestCachedPrefixFoundAmongManyEngines(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 100)
	_ = countPicks(t, b, testRequest(), list, 1)
	request := testRequest()
	for i := range uint64(10) {
		request.Prefix = append(request.Prefix, i+1)
		b.CacheEvents(chat, "north-42", []CacheEvent{{Sequence: i + 1, Hash: i + 1, Stored: true}})
		if i < 3 {
			b.CacheEvents(chat, "north-7", []CacheEvent{{Sequence: i + 1, Hash: i + 1, Stored: true}})
		}
	}
	is.Equal(countPicks(t, b, request, list, 50), map[string]int{"north-42": 50})
	request.Tried = map[string]bool{"north-42": true}
	first, err := b.Pick(request, list)
	is.NoErr(err)
	is.Equal(first.Upstream.GetName(), "north-7") // the next longest match when the best is excluded
	first.Done(nil)
}

// One engine of many fails and recovers. If picks only sampled, it would come up about once
// in a hundred requests, wait that long for each probe and stay out of use.
func TestFailedEngineAmongManyIsProbedSoon(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 100)
	_ = countPicks(t, b, testRequest(), list, 1)
	s, failing := b.find(chat, "north-0")
	fail := func() {
		failing.breaker.RecordFailure(clock.Now(), false, true)
		is.Equal(s.unhealthy.Load(), int64(1))
	}
	fail()
	is.Equal(countPicks(t, b, testRequest(), list, 500)["north-0"], 0)
	clock.Advance(5 * time.Second)
	is.True(countPicks(t, b, testRequest(), list, 200)["north-0"] >= 2) // both probes
	is.Equal(s.unhealthy.Load(), int64(0))
	// An upstream removed while unhealthy must not stay in the count: every pick would scan
	// all upstreams.
	fail()
	_ = countPicks(t, b, testRequest(), list[1:], 1)
	is.Equal(s.unhealthy.Load(), int64(0))
	failing.breaker.RecordFailure(clock.Now(), true, true)
	is.Equal(s.unhealthy.Load(), int64(0))
}

// Nearly all of many engines lack the model or failed the request already. The one left must
// be found, and once it drains too the pick must fail with NoUpstream.
func TestFewUsableUpstreamsAmongManyAreFound(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 100)
	_ = countPicks(t, b, testRequest(), list, 1)
	request := testRequest()
	request.Model, request.Tried = "small", map[string]bool{}
	for i, u := range list {
		switch {
		case i < 60:
			b.Report(chat, u.GetName(), LoadReport{Models: []LoadedModel{{Model: "large"}}})
		case i < 99:
			request.Tried[u.GetName()] = true
		}
	}
	is.Equal(countPicks(t, b, request, list, 200), map[string]int{"north-99": 200})
	drained := append([]*operatorv1.Upstream(nil), list...)
	drained[99] = &operatorv1.Upstream{Name: "north-99", Service: chat, Region: "north", Slots: 16, Draining: true}
	_, err := b.Pick(request, drained)
	is.Equal(result.CodeOf(err), result.NoUpstream)
}
