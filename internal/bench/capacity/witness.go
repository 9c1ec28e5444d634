package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	golog "github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/witness"
)

// witnessed counts what a teller and its witness say to each other. It is a
// peer.Caller.
type witnessed struct {
	memory   *witness.Store
	bytes    atomic.Int64
	messages atomic.Int64
}

// Call implements peer.Caller.
func (w *witnessed) Call(_ context.Context, _ string, r *fleetv1.Request) (*fleetv1.Response, error) {
	answer := &fleetv1.Response{Hlc: r.GetHlc(), Body: &fleetv1.Response_Witnessed{Witnessed: &fleetv1.Witnessed{}}}
	if err := w.memory.Update(r.GetFrom(), proto.CloneOf(r.GetWitness())); err != nil {
		return nil, err
	}
	w.messages.Add(1)
	w.bytes.Add(int64(proto.Size(r) + proto.Size(answer)))
	return answer, nil
}

// witnessSlopes runs the exchange for requests that come one after the other: each
// waits until the witness knows it, and is told of again at its end.
func witnessSlopes(n Samples) []Slope {
	clock := clockwork.NewRealClock()
	peer := &witnessed{memory: witness.NewStore()}
	events := event.NewRecorder(event.NewHLC(clock), incarnationName(0), n.Events, golog.NewNopLogger())
	teller := witness.NewReplicator(witness.Config{
		Incarnation: incarnationName(0), Clock: clock, Caller: peer, Events: events,
		Candidates: func() []witness.Candidate {
			return []witness.Candidate{{Incarnation: incarnationName(1), Address: "10.0.1.20:7004"}}
		},
		OnlyNode:     func() bool { return false },
		LogReachable: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go teller.Run(ctx)
	before := heap()
	began := time.Now()
	for i := range n.Lookups {
		open := &fleetv1.OpenRequest{Request: fmt.Sprintf("%s.%d", incarnationName(0), i), Budget: budgetName(i % activeBudgets),
			Reserved: 700, Upstream: "engine-00012"}
		if err := teller.Tell(ctx, open); err != nil {
			panic(err)
		}
		teller.Ended(open.GetRequest(), 221)
	}
	took := time.Since(began)
	both := heap() - before
	requests := float64(teller.Len())
	return []Slope{
		{"witness exchange, bytes per request", float64(peer.bytes.Load()) / requests, "B", "a teller and its witness as they run, both ways, open and end, requests one after the other; without transport"},
		{"witness exchange, messages per request", float64(peer.messages.Load()) / requests, "", "the same run; the end of a request goes with the next one's beginning"},
		{"witness exchange, time per request", float64(took.Nanoseconds()) / requests, "ns", "the same run, told and answered without a network"},
		{"witness memory per request", both / requests, "B", "the same run: what the teller and its witness keep together until it is settled in the log"},
	}
}
