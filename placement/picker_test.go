package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/throttle"
)

var regions = map[string]string{"a": "east", "b": "east", "c": "west"}

func upstream(id, dataCentre string) *directory.Upstream {
	return &directory.Upstream{Entry: directory.Entry{ID: id, Service: "s", DataCentre: dataCentre, Slots: 4, State: directory.Ready}, Stats: &directory.Stats{}}
}

func nineUpstreams() []*directory.Upstream {
	var list []*directory.Upstream
	for i := range 9 {
		list = append(list, upstream(fmt.Sprintf("u%d", i), string(rune('a'+i%3))))
	}
	return list
}

func newRequest(dataCentre string, parts ...PromptPart) *Request {
	r := &Request{Now: time.Hour, DataCentre: dataCentre, Region: regions[dataCentre], Prefix: parts}
	for _, p := range parts {
		r.PromptTokens += p.Tokens
	}
	return r
}

func mustPick(t *testing.T, p *Picker, r *Request, list []*directory.Upstream) *directory.Upstream {
	t.Helper()
	c, ok := p.Pick(r, list)
	if !ok {
		t.Fatal("nothing picked")
	}
	return c.Upstream
}

// Nodes of three data centres send prompts that share a long part. Unless all choose the same
// engine without coordination, each engine chosen prefills the part once more.
func TestLongSharedPromptUsesOneUpstreamFleetWide(t *testing.T) {
	is := is.New(t)
	list := nineUpstreams()
	shared, own := PromptPart{"shared", 5_000}, PromptPart{"own", 800}
	first := mustPick(t, NewPicker(DefaultSettings(), regions), newRequest("a", shared, own), list)
	for _, dc := range []string{"b", "c"} {
		is.Equal(mustPick(t, NewPicker(DefaultSettings(), regions), newRequest(dc, shared, own), list).ID, first.ID)
	}
}

// Prefilling a short shared part once more is cheaper than sending each request to another data
// centre.
func TestShortSharedPromptStaysInDataCentre(t *testing.T) {
	is := is.New(t)
	is.Equal(mustPick(t, NewPicker(DefaultSettings(), regions), newRequest("b", PromptPart{"shared", 100}, PromptPart{"own", 50}), nineUpstreams()).DataCentre, "b")
}

// One shared prompt suddenly gets most of the traffic. Its affinity upstream must not get all
// of it while eight others are idle.
func TestBusyAffinityUpstreamSpills(t *testing.T) {
	is := is.New(t)
	list := nineUpstreams()
	p := NewPicker(DefaultSettings(), regions)
	r := newRequest("a", PromptPart{"hot", 5_000}, PromptPart{"own", 6_000})
	affinity := mustPick(t, p, r, list)
	affinity.PromptInFlight.Add(60_000)
	is.True(mustPick(t, p, r, list).ID != affinity.ID)
}

// An engine fails some of its requests while it passes its health check. After failures requests
// go elsewhere, and after a while the engine is tried again.
func TestFailingUpstreamIsAvoidedTemporarily(t *testing.T) {
	is := is.New(t)
	list := []*directory.Upstream{upstream("bad", "a"), upstream("far", "c")}
	p := NewPicker(DefaultSettings(), regions)
	list[0].RecordFailure(time.Hour)
	is.Equal(mustPick(t, p, newRequest("a"), list).ID, "far")
	later := newRequest("a")
	later.Now = time.Hour + 30*time.Second
	is.Equal(mustPick(t, p, later, list).ID, "bad")
}

// All upstreams left look unreachable, as after a brief network outage. One is tried nevertheless:
// refusing requests would be wrong as soon as one has recovered.
func TestUnreachableUpstreamIsLastResort(t *testing.T) {
	is := is.New(t)
	list := []*directory.Upstream{upstream("dark", "a"), upstream("far", "c")}
	p := NewPicker(DefaultSettings(), regions)
	list[0].RecordUnreachable(time.Hour)
	is.Equal(mustPick(t, p, newRequest("a"), list).ID, "far")
	r := newRequest("a")
	r.Tried = []*directory.Upstream{list[1]}
	is.Equal(mustPick(t, p, r, list).ID, "dark")
	r.Tried = list
	_, ok := p.Pick(r, list)
	is.True(!ok)
}

// Guards against sending requests to an upstream that asked for a pause, even if it is the only one
// left.
func TestPausedUpstreamIsNotEvenLastResort(t *testing.T) {
	is := is.New(t)
	list := []*directory.Upstream{upstream("paused", "a"), upstream("dark", "c")}
	p := NewPicker(DefaultSettings(), regions)
	r := newRequest("a")
	list[0].RecordPause(r.Now + time.Second)
	list[1].RecordUnreachable(r.Now)
	is.Equal(mustPick(t, p, r, list).ID, "dark")
	_, ok := p.Pick(r, list[:1])
	is.True(!ok)
	r.Now += time.Second
	is.Equal(mustPick(t, p, r, list).ID, "paused")
}

// Guards against sending requests to an upstream that announced that it leaves.
func TestLeavingUpstreamIsNotEvenLastResort(t *testing.T) {
	is := is.New(t)
	list := []*directory.Upstream{upstream("leaving", "a"), upstream("dark", "c")}
	p := NewPicker(DefaultSettings(), regions)
	r := newRequest("a")
	list[0].RecordLeaving()
	list[1].RecordUnreachable(r.Now)
	is.Equal(mustPick(t, p, r, list).ID, "dark")
	_, ok := p.Pick(r, list[:1])
	is.True(!ok)
}

// Guards against prefilling a shared prompt once more after each pause: it must move to one other
// engine, and back.
func TestSharedPromptReturnsAfterPause(t *testing.T) {
	is := is.New(t)
	list := nineUpstreams()
	shared, own := PromptPart{"shared", 5_000}, PromptPart{"own", 800}
	r := newRequest("a", shared, own)
	first := mustPick(t, NewPicker(DefaultSettings(), regions), r, list)
	first.RecordPause(r.Now + time.Second)
	second := mustPick(t, NewPicker(DefaultSettings(), regions), r, list)
	is.True(second.ID != first.ID)
	for _, dc := range []string{"b", "c"} {
		is.Equal(mustPick(t, NewPicker(DefaultSettings(), regions), newRequest(dc, shared, own), list).ID, second.ID)
	}
	r.Now += time.Second
	is.Equal(mustPick(t, NewPicker(DefaultSettings(), regions), r, list).ID, first.ID)
}

// Guards against relaying through another node while an equal upstream has a path of its own, and
// against leaving the relayed ones idle.
func TestRelayedUpstreamIsSecondChoice(t *testing.T) {
	is := is.New(t)
	list := []*directory.Upstream{upstream("a-relayed", "a"), upstream("b-direct", "a")}
	list[0].Address = "10.64.0.1:80"
	p := NewPicker(DefaultSettings(), regions)
	p.IsRelayed = func(address string) bool { return address == "10.64.0.1:80" }
	is.Equal(mustPick(t, p, newRequest("a"), list).ID, "b-direct")
	list[1].ObserveLoad(8, 0, time.Hour)
	is.Equal(mustPick(t, p, newRequest("a"), list).ID, "a-relayed")
}

// BenchmarkPick measures one pick among 140 engines.
func BenchmarkPick(b *testing.B) {
	var list []*directory.Upstream
	for i := range 140 {
		list = append(list, upstream(fmt.Sprintf("u%d", i), string(rune('a'+i%3))))
	}
	p := NewPicker(DefaultSettings(), regions)
	r := newRequest("a", PromptPart{"one", 512}, PromptPart{"two", 4_870}, PromptPart{"own", 6_000})
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(r, list)
	}
}

// Guards against leaving an upstream idle for its whole warm-up although a ramp limits what it gets, or for what it
// reported of its load seconds ago; and against a changed choice where there are no ramps.
func TestRampReplacesWarmupPenalty(t *testing.T) {
	is := is.New(t)
	cold, other := coldSince("cold", time.Hour), upstream("other", "a")
	cold.ObserveLoad(4, 9, time.Hour-rampLoadTTL-1)
	other.ObserveLoad(1, 0, time.Hour)
	list, p := []*directory.Upstream{cold, other}, NewPicker(DefaultSettings(), regions)
	is.Equal(mustPick(t, p, newRequest("a"), list).ID, "other")
	cold.Throttle.BeginRamp(throttle.RampStart{Slots: 4, Part: throttle.Part{Share: 4, Senders: 1}}, time.Hour, 0)
	is.Equal(mustPick(t, p, newRequest("a"), list).ID, "cold")

	cold = coldSince("cold", time.Hour-time.Second)
	list[0] = cold
	is.Equal(mustPick(t, p, newRequest("a"), list).ID, "other")
	cold.Throttle.SetRampConfigured(true)
	is.Equal(mustPick(t, p, newRequest("a"), list).ID, "cold")
}

// coldSince returns an upstream whose entry was read at a time and says that it is cold for a second.
func coldSince(id string, at time.Duration) *directory.Upstream {
	clock := &bootclock.Fake{}
	clock.Advance(at)
	table := directory.NewTable(clock)
	entry := upstream(id, "a").Entry
	entry.Warmup = time.Second
	table.Put(entry)
	return table.Current().Upstreams(entry.Service)[0]
}
