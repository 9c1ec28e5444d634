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
	counts := picks(t, b, ask(), list, 20_000)
	for i := range 100 {
		is.True(counts[list[i].GetName()] > 100) // of 200 in the mean
		is.True(counts[list[i].GetName()] < 300)
		is.Equal(counts[list[100+i].GetName()], 0) // the other region
	}
}

func TestCachedPrefixFoundAmongManyEngines(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 100)
	_ = picks(t, b, ask(), list, 1)
	a := ask()
	for i := range uint64(10) {
		a.Prefix = append(a.Prefix, i+1)
		b.CacheEvents(chat, "north-42", []CacheEvent{{Sequence: i + 1, Hash: i + 1, Stored: true}})
		if i < 3 {
			b.CacheEvents(chat, "north-7", []CacheEvent{{Sequence: i + 1, Hash: i + 1, Stored: true}})
		}
	}
	is.Equal(picks(t, b, a, list, 50), map[string]int{"north-42": 50})
	a.Tried = map[string]bool{"north-42": true}
	first, err := b.Pick(a, list)
	is.NoErr(err)
	is.Equal(first.Upstream.GetName(), "north-7") // the next best when it can't be had
	first.Done(nil)
}

// One engine of many fails and recovers. Drawn at random among a hundred it would wait
// for its probes as long as for a hundred requests' luck, and stay out of use.
func TestFailedEngineAmongManyIsProbedSoon(t *testing.T) {
	is := is.New(t)
	b, clock := newTestBalancer()
	list := engines("north", 100)
	_ = picks(t, b, ask(), list, 1)
	s, sick := b.find(chat, "north-0")
	fail := func() {
		sick.breaker.RecordFailure(clock.Now(), false, true)
		is.Equal(s.sick.Load(), int64(1))
	}
	fail()
	is.Equal(picks(t, b, ask(), list, 500)["north-0"], 0)
	clock.Advance(5 * time.Second)
	is.True(picks(t, b, ask(), list, 200)["north-0"] >= 2) // both probes
	is.Equal(s.sick.Load(), int64(0))
	// One that leaves while it is sick must not be counted for ever: every pick would
	// look at all upstreams.
	fail()
	_ = picks(t, b, ask(), list[1:], 1)
	is.Equal(s.sick.Load(), int64(0))
	sick.breaker.RecordFailure(clock.Now(), true, true)
	is.Equal(s.sick.Load(), int64(0))
}

// Of many engines nearly all drain, lack the model or failed the request. The few that
// are left must be found all the same, and their absence be refused truly.
func TestFewUsableUpstreamsAmongManyAreFound(t *testing.T) {
	is := is.New(t)
	b, _ := newTestBalancer()
	list := engines("north", 100)
	_ = picks(t, b, ask(), list, 1)
	a := ask()
	a.Model, a.Tried = "small", map[string]bool{}
	for i, u := range list {
		switch {
		case i < 60:
			b.Report(chat, u.GetName(), LoadReport{Models: []LoadedModel{{Model: "large"}}})
		case i < 99:
			a.Tried[u.GetName()] = true
		}
	}
	is.Equal(picks(t, b, a, list, 200), map[string]int{"north-99": 200})
	drained := append([]*operatorv1.Upstream(nil), list...)
	drained[99] = &operatorv1.Upstream{Name: "north-99", Service: chat, Region: "north", Slots: 16, Draining: true}
	_, err := b.Pick(a, drained)
	is.Equal(result.CodeOf(err), result.NoUpstream)
}
