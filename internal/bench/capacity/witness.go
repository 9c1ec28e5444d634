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

// countingWitness is a peer.Caller that stands for a witness and counts the messages and bytes
// exchanged with it.
type countingWitness struct {
	store    *witness.Store
	bytes    atomic.Int64
	messages atomic.Int64
}

// Call implements peer.Caller.
func (w *countingWitness) Call(_ context.Context, _ string, r *fleetv1.Request) (*fleetv1.Response, error) {
	answer := &fleetv1.Response{Hlc: r.GetHlc(), Body: &fleetv1.Response_Witnessed{Witnessed: &fleetv1.Witnessed{}}}
	if err := w.store.Update(r.GetFrom(), proto.CloneOf(r.GetWitness())); err != nil {
		return nil, err
	}
	w.messages.Add(1)
	w.bytes.Add(int64(proto.Size(r) + proto.Size(answer)))
	return answer, nil
}

// witnessSlopes measures witness replication for sequential requests: each waits until the
// witness has stored it, and its end is reported afterwards.
func witnessSlopes(n Samples) []Slope {
	clock := clockwork.NewRealClock()
	peerWitness := &countingWitness{store: witness.NewStore()}
	events := event.NewRecorder(event.NewHLC(clock), incarnationName(0), n.Events, golog.NewNopLogger())
	replicator := witness.NewReplicator(witness.Config{
		Incarnation: incarnationName(0), Clock: clock, Caller: peerWitness, Events: events,
		Candidates: func() []witness.Candidate {
			return []witness.Candidate{{Incarnation: incarnationName(1), Address: "10.0.1.20:7004"}}
		},
		OnlyNode:     func() bool { return false },
		LogReachable: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go replicator.Run(ctx)
	before := heapInUse()
	start := time.Now()
	for i := range n.Lookups {
		open := &fleetv1.OpenRequest{Request: fmt.Sprintf("%s.%d", incarnationName(0), i), Budget: budgetName(i % activeBudgets),
			Reserved: 700, Upstream: "engine-00012"}
		if err := replicator.RecordOpen(ctx, open); err != nil {
			panic(err)
		}
		replicator.RecordEnded(open.GetRequest(), 221)
	}
	elapsed := time.Since(start)
	heldBytes := heapInUse() - before
	requests := float64(replicator.Len())
	return []Slope{
		{"witness exchange, bytes per request", float64(peerWitness.bytes.Load()) / requests, "B", "a replicator and its witness as they run, both ways, open and end, requests one after the other; without transport"},
		{"witness exchange, messages per request", float64(peerWitness.messages.Load()) / requests, "", "the same run; the end of a request goes with the next one's beginning"},
		{"witness exchange, time per request", float64(elapsed.Nanoseconds()) / requests, "ns", "the same run, sent and answered without a network"},
		{"witness memory per request", heldBytes / requests, "B", "the same run: what the replicator and its witness hold together until it is settled in the log"},
	}
}
