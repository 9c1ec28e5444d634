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

// pathSlopes measures the request path's own pieces.
func pathSlopes(n Samples) []Slope {
	clock := clockwork.NewRealClock()
	holder := budget.NewShareHolder(incarnationName(0), clock)
	holder.ExtendRight(clock.Now().Add(time.Hour))
	held := grown(n.HeldBudgets, func() any {
		for i := range n.HeldBudgets {
			holder.Credit(budgetName(i), 1<<40)
		}
		return holder
	})
	reserve := each(n.Reserves, func() {
		for i := range n.Reserves {
			r, err := holder.Reserve(budgetName(i%50), 500)
			if err != nil {
				panic(err)
			}
			r.Finish(221)
			if i%settlementsABatch == 0 {
				holder.TakeSettlements()
			}
		}
	})
	return append([]Slope{
		{"holder memory per budget held", held, "B", "10,000 budgets credited"},
		{"reserve and finish", reserve, "ns", "one goroutine; settlements taken every 50"},
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
	memory := grown(n.Events, func() any { admit(); return recorder })
	return []Slope{
		{"event memory", memory, "B", "RequestAdmitted with four fields, ring full"},
		{"event recorded", each(n.Events, admit), "ns", "RequestAdmitted with four fields, log off"},
	}
}

// wireSlopes measures what nodes say to each other.
func wireSlopes() []Slope {
	view := &fleetv1.PeerView{Node: info(7), Beat: 100_000, InFlight: 23, ConfigOffset: 90_000_000}
	ping := &fleetv1.Request{From: incarnationName(0), Hlc: 1 << 57, Body: &fleetv1.Request_Ping{Ping: &fleetv1.Ping{Views: viewsOf(view, usualViews)}}}
	full := &fleetv1.Request{From: incarnationName(0), Hlc: 1 << 57, Body: &fleetv1.Request_Ping{Ping: &fleetv1.Ping{Views: viewsOf(view, mostViews)}}}
	open := &fleetv1.Request{From: incarnationName(0), Hlc: 1 << 57, Body: &fleetv1.Request_Witness{Witness: &fleetv1.Witness{
		Open: []*fleetv1.OpenRequest{{Request: incarnationName(0) + ".1234567", Budget: budgetName(1), Reserved: 700, Upstream: "engine-00012"}},
	}}}
	return []Slope{
		{"peer view", float64(proto.Size(view)), "B", "one member as nodes tell of it"},
		{"ping", float64(proto.Size(ping) + quicOverhead), "B", fmt.Sprintf("with 3 views; %d B for QUIC, UDP and IP are computed, not measured", quicOverhead)},
		{"ping with news", float64(proto.Size(full) + quicOverhead), "B", "with 9 views, the most that it carries; the same overhead"},
		{"witness of one request", float64(proto.Size(open)), "B", "message without transport"},
	}
}

// quicOverhead is a short header, a tag, a stream frame and the headers of UDP and IP.
const quicOverhead = 60

// A ping carries the sender's own view, two to fill up, and six of news at most.
const (
	usualViews = 3
	mostViews  = 9
)

func viewsOf(view *fleetv1.PeerView, n int) []*fleetv1.PeerView {
	views := make([]*fleetv1.PeerView, n)
	for i := range views {
		views[i] = view
	}
	return views
}
