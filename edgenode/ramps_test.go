package edgenode

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/bootclock"
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/gateway"
	"lavenderpin.dev/lavenderpin/prepaid"
	"lavenderpin.dev/lavenderpin/presence"
	"lavenderpin.dev/lavenderpin/throttle"
)

// newRampNode returns one of a number of nodes, without loops, and its clock. The configuration limits the cold
// upstreams of the service "cold".
func newRampNode(nodes int) (*Node, *bootclock.Fake) {
	clock := &bootclock.Fake{}
	clock.Advance(time.Hour)
	n := &Node{settings: Settings{Node: "n0", DataCentre: "d", Region: "r", Capacity: 100, Regions: map[string]string{"d": "r"}}, catalog: &catalog.Holder{},
		directory: directory.NewTable(clock), roster: presence.NewRoster(clock),
		deps: Deps{Clock: clock, Metrics: gateway.NewMetrics(false), Events: event.NewRecorder(event.NewHLC(clockwork.NewFakeClock()), "n0", 64, log.NewNopLogger())}}
	n.share = prepaid.NewShare(prepaid.DefaultSettings(), prepaid.Clocks{Boot: clock, Wall: clock.WallClock()}, prepaid.Holder{Node: "n0"})
	n.directory.Ramp = n.rampStart
	n.catalog.Publish(catalog.NewView(1, catalog.Limits{}, nil, []*catalog.Service{{Name: "cold", Engine: &catalog.Engine{}, Warmup: catalog.Warmup{Duration: time.Second, RequestsPerSecond: 9}}, {Name: "plain"}}, nil, nil))
	n.roster.ReadSucceeded()
	for i := range nodes {
		n.roster.Update(presence.Record{Node: fmt.Sprintf("n%d", i), DataCentre: "d", Region: "r", Capacity: 100, Ready: true})
	}
	n.directory.Replace(nil)
	return n, clock
}

func (n *Node) put(id, service string) *directory.Upstream {
	n.directory.Put(directory.Entry{ID: id, Service: service, DataCentre: "d", Slots: 32, State: directory.Ready})
	for _, u := range n.directory.Current().Upstreams(service) {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// Guards against ramps of services for which nothing enables them, and against none where the configuration or a load
// figure does.
func TestRampsAreEnabledByConfigurationOrReport(t *testing.T) {
	is := is.New(t)
	n, clock := newRampNode(4)
	first, plain := n.put("c1", "cold"), n.put("p1", "plain")
	n.adjustRamps(clock.Now())
	is.True(first.Throttle.RampEnabled())
	is.True(n.put("c2", "cold").Throttle.Ramping())
	is.True(!n.put("p2", "plain").Throttle.Ramping())
	plain.Throttle.SetRampReported(true)
	n.adjustRamps(clock.Now())
	is.True(n.put("p3", "plain").Throttle.Ramping())

	first.Throttle.Observe(throttle.Answer{Wait: 40 * time.Millisecond}, clock.Now())
	first.Throttle.Succeeded(throttle.Load{}, 900*time.Millisecond, clock.Now())
	n.adjustRamps(clock.Now())
	start, ok := n.rampStart(directory.Entry{Service: "cold", DataCentre: "d", Slots: 32})
	is.True(ok)
	is.Equal(start.Usual, 900*time.Millisecond)
	is.Equal(start.UsualWait, 40*time.Millisecond)
	is.Equal(n.RampingUpstreams(), map[string]int{"cold": 1, "plain": 1})
	is.Equal(len(n.eventsOf(event.UpstreamRamp)), 2)
	clock.Advance(time.Minute)
	n.adjustRamps(clock.Now())
	is.Equal(len(n.eventsOf(event.UpstreamRamp)), 4) // both ended
}

func (n *Node) eventsOf(number event.Number) (found []event.Event) {
	all, _ := n.deps.Events.After(0, 64)
	for _, e := range all {
		if e.Number == number {
			found = append(found, e)
		}
	}
	return found
}

// Guards against an upstream that gets nothing when it recovers while no node can read the store: the nodes keep the
// last known shares, however long ago they were read.
func TestRampKeepsSharesWhileStoreIsDown(t *testing.T) {
	is := is.New(t)
	n, clock := newRampNode(4)
	before := n.rampPart("d").Share
	is.True(math.Abs(before-0.25) < 0.2)
	n.roster.ReadFailed()
	clock.Advance(time.Hour)
	is.Equal(n.rampPart("d").Share, before)
	is.True(n.sendPart("d").Share < before/4) // of limits, which must hold
	empty := &Node{settings: n.settings, roster: presence.NewRoster(clock), catalog: n.catalog, share: n.share}
	is.Equal(empty.rampPart("d").Senders, unknownSenders)
}
