package capacity

import (
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/event"
)

// requestPathSlopes measures the parts of a node's request path.
func requestPathSlopes(n Samples) []Slope {
	clock := clockwork.NewRealClock()
	holder := budget.NewShareHolder(incarnationName(0), clock)
	holder.ExtendRight(clock.Now().Add(time.Hour))
	heldBytes := heapPerItem(n.HeldBudgets, func() any {
		for i := range n.HeldBudgets {
			holder.Credit(budgetName(i), 1<<40)
		}
		return holder
	})
	reserveNanos := nanosPerOperation(n.Reserves, func() {
		for i := range n.Reserves {
			r, err := holder.Reserve(budgetName(i%50), 500)
			if err != nil {
				panic(err)
			}
			r.Finish(221)
			if i%settlementsPerBatch == 0 {
				holder.TakeSettlements()
			}
		}
	})
	return append([]Slope{
		{"holder memory per budget held", heldBytes, "B", "10,000 budgets credited"},
		{"reserve and finish", reserveNanos, "ns", "one goroutine; settlements taken every 50"},
	}, eventSlopes(n, clock)...)
}

func eventSlopes(n Samples, clock clockwork.Clock) []Slope {
	recorder := event.NewRecorder(event.NewHLC(clock), incarnationName(0), n.Events, log.NewNopLogger())
	admit := func() {
		for i := range n.Events {
			id := budget.RequestID{Incarnation: incarnationName(0), Counter: uint64(i)}
			recorder.Record(event.RequestAdmitted, "request", id, "account", accountName(i), "budget", budgetName(i), "tokens", uint64(500))
		}
	}
	memory := heapPerItem(n.Events, func() any { admit(); return recorder })
	return []Slope{
		{"event memory", memory, "B", "RequestAdmitted with four fields, ring full"},
		{"event recorded", nanosPerOperation(n.Events, admit), "ns", "RequestAdmitted with four fields, log off"},
	}
}

// messageSlopes measures the sizes of the messages between nodes.
func messageSlopes() []Slope {
	view := &fleetv1.PeerView{Node: nodeInfo(7), Beat: 100_000, InFlight: 23, ConfigOffset: 90_000_000}
	ping := &fleetv1.Request{From: incarnationName(0), Hlc: 1 << 57, Body: &fleetv1.Request_Ping{Ping: &fleetv1.Ping{Views: repeatView(view, typicalPingViews)}}}
	full := &fleetv1.Request{From: incarnationName(0), Hlc: 1 << 57, Body: &fleetv1.Request_Ping{Ping: &fleetv1.Ping{Views: repeatView(view, maxPingViews)}}}
	open := &fleetv1.Request{From: incarnationName(0), Hlc: 1 << 57, Body: &fleetv1.Request_Witness{Witness: &fleetv1.Witness{
		Open: []*fleetv1.OpenRequest{{Request: incarnationName(0) + ".1234567", Budget: budgetName(1), Reserved: 700, Upstream: "engine-00012"}},
	}}}
	return []Slope{
		{"peer view", float64(proto.Size(view)), "B", "one member as nodes report it"},
		{"ping", float64(proto.Size(ping) + transportOverhead), "B", fmt.Sprintf("with 3 views; %d B for QUIC, UDP and IP are computed, not measured", transportOverhead)},
		{"ping with news", float64(proto.Size(full) + transportOverhead), "B", "with 9 views, the most that it carries; the same overhead"},
		{"witness of one request", float64(proto.Size(open)), "B", "message without transport"},
	}
}

// transportOverhead is the bytes of a QUIC short header, an authentication tag, a stream frame
// and the UDP and IP headers; it is computed, not measured.
const transportOverhead = 60

// A ping carries the sender's own view, two more to fill up, and at most six with news.
const (
	typicalPingViews = 3
	maxPingViews     = 9
)

func repeatView(view *fleetv1.PeerView, n int) []*fleetv1.PeerView {
	views := make([]*fleetv1.PeerView, n)
	for i := range views {
		views[i] = view
	}
	return views
}
