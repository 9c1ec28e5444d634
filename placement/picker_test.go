package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
)

var regions = map[string]string{"a": "east", "b": "east", "c": "west"}

func upstream(id, dataCentre string) *directory.Upstream {
	return &directory.Upstream{Entry: directory.Entry{ID: id, Service: "s", DataCentre: dataCentre, Slots: 4, State: directory.Ready}, Stats: &directory.Stats{}}
}

func nine() []*directory.Upstream {
	var list []*directory.Upstream
	for i := range 9 {
		list = append(list, upstream(fmt.Sprintf("u%d", i), string(rune('a'+i%3))))
	}
	return list
}

func query(dataCentre string, parts ...PromptPart) *Request {
	q := &Request{Now: time.Hour, DataCentre: dataCentre, Region: regions[dataCentre], Prefix: parts}
	for _, p := range parts {
		q.PromptTokens += p.Tokens
	}
	return q
}

func picked(t *testing.T, p *Picker, q *Request, list []*directory.Upstream) *directory.Upstream {
	t.Helper()
	c, ok := p.Pick(q, list)
	if !ok {
		t.Fatal("nothing picked")
	}
	return c.Upstream
}

// Nodes of three data centres send prompts that share a long part. Unless they all choose
// the same engine without asking each other, each reads the part once more.
func TestLongSharedPromptUsesOneUpstreamFleetWide(t *testing.T) {
	is := is.New(t)
	list := nine()
	shared, own := PromptPart{"shared", 5_000}, PromptPart{"own", 800}
	first := picked(t, NewPicker(DefaultSettings(), regions), query("a", shared, own), list)
	for _, dc := range []string{"b", "c"} {
		is.Equal(picked(t, NewPicker(DefaultSettings(), regions), query(dc, shared, own), list).ID, first.ID)
	}
}

// A short shared part is cheaper to read once more than each request is to carry to
// another data centre.
func TestShortSharedPromptStaysInDataCentre(t *testing.T) {
	is := is.New(t)
	is.Equal(picked(t, NewPicker(DefaultSettings(), regions), query("b", PromptPart{"shared", 100}, PromptPart{"own", 50}), nine()).DataCentre, "b")
}

// One subject suddenly gets most of the traffic. Its home engine must not take it all
// while eight others idle.
func TestBusyAffinityUpstreamSpills(t *testing.T) {
	is := is.New(t)
	list := nine()
	p := NewPicker(DefaultSettings(), regions)
	q := query("a", PromptPart{"hot", 5_000}, PromptPart{"own", 6_000})
	home := picked(t, p, q, list)
	home.PromptInFlight.Add(60_000)
	is.True(picked(t, p, q, list).ID != home.ID)
}

// An engine fails some of its requests while its health check is good. After a few
// failures requests go elsewhere, and after a while it gets another chance.
func TestFailingUpstreamIsAvoidedTemporarily(t *testing.T) {
	is := is.New(t)
	list := []*directory.Upstream{upstream("bad", "a"), upstream("far", "c")}
	p := NewPicker(DefaultSettings(), regions)
	list[0].RecordFailure(time.Hour)
	is.Equal(picked(t, p, query("a"), list).ID, "far")
	later := query("a")
	later.Now = time.Hour + 30*time.Second
	is.Equal(picked(t, p, later, list).ID, "bad")
}

// All upstreams of a service look dark, as after a short cut. One is tried all the same:
// refusing everything would be wrong as soon as one is back.
func TestUnreachableUpstreamIsLastResort(t *testing.T) {
	is := is.New(t)
	list := []*directory.Upstream{upstream("dark", "a"), upstream("far", "c")}
	p := NewPicker(DefaultSettings(), regions)
	list[0].RecordUnreachable(time.Hour)
	is.Equal(picked(t, p, query("a"), list).ID, "far")
	q := query("a")
	q.Tried = []*directory.Upstream{list[1]}
	is.Equal(picked(t, p, q, list).ID, "dark")
	q.Tried = list
	_, ok := p.Pick(q, list)
	is.True(!ok)
}

// BenchmarkPick is the cost of one choice among 140 engines.
func BenchmarkPick(b *testing.B) {
	var list []*directory.Upstream
	for i := range 140 {
		list = append(list, upstream(fmt.Sprintf("u%d", i), string(rune('a'+i%3))))
	}
	p := NewPicker(DefaultSettings(), regions)
	q := query("a", PromptPart{"one", 512}, PromptPart{"two", 4_870}, PromptPart{"own", 6_000})
	b.ReportAllocs()
	for b.Loop() {
		p.Pick(q, list)
	}
}
