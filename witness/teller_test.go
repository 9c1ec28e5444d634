package witness

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/matryer/is"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/event"
)

// far is how long an exchange with the second witness takes.
const far = 60 * time.Millisecond

// memories are other nodes by address, each with how long it takes to answer.
type memories struct {
	mu    sync.Mutex
	nodes map[string]*Store
	delay map[string]time.Duration
	sent  map[string]int
}

func (m *memories) Call(ctx context.Context, address string, r *fleetv1.Request) (*fleetv1.Response, error) {
	m.mu.Lock()
	node, delay := m.nodes[address], m.delay[address]
	m.sent[address]++
	m.mu.Unlock()
	select {
	case <-time.After(delay):
		return &fleetv1.Response{}, node.Update(r.GetFrom(), r.GetWitness())
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
}

func (m *memories) setDelay(address string, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay[address] = delay
}

func (m *memories) sentTo(address string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sent[address]
}

func (m *memories) finished(address, request string) (known, finished bool) {
	for _, open := range m.nodes[address].Report("n") {
		if open.GetRequest() == request {
			return true, open.GetFinished()
		}
	}
	return false, false
}

func open(request string) *fleetv1.OpenRequest {
	return &fleetv1.OpenRequest{Request: request, Budget: "b", Reserved: 100, Upstream: "e", DispatchedAs: request}
}

// startTeller runs a teller whose first witness is near and whose second is far.
func startTeller(t *testing.T) (*Replicator, *memories) {
	clock := clockwork.NewRealClock()
	m := &memories{nodes: map[string]*Store{"near": NewStore(), "far": NewStore()},
		delay: map[string]time.Duration{"near": 3 * time.Millisecond, "far": far}, sent: map[string]int{}}
	teller := NewReplicator(Config{
		Incarnation: "n", Clock: clock, Caller: m, Events: event.NewRecorder(event.NewHLC(clock), "n", 100, log.NewNopLogger()),
		Candidates: func() []Candidate { return []Candidate{{"near", "near", "a"}, {"far", "far", "b"}} },
		OnlyNode:   func() bool { return false }, LogReachable: func() bool { return true }, Required: true,
	})
	go teller.Run(t.Context())
	return teller, m
}

// A node and the witness that its requests wait for die at the same moment. A third
// node must know of the request by then, though nobody waited for it, and though it is
// slow or was out of reach for a while. Otherwise the answer is billed to nobody.
func TestSecondWitnessIsUpdatedAsynchronously(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		teller, m := startTeller(t)

		began := time.Now()
		is.NoErr(teller.Tell(ctx, open("n.2")))
		is.True(time.Since(began) < far)
		time.Sleep(copyGather + far + time.Millisecond)
		known, finished := m.finished("far", "n.2")
		is.True(known && !finished)

		teller.Ended("n.2", 50)
		time.Sleep(copyGather + 2*far)
		_, finished = m.finished("far", "n.2")
		is.True(finished)

		m.setDelay("far", time.Hour) // cut off
		is.NoErr(teller.Tell(ctx, open("n.3")))
		teller.Ended("n.3", 50)
		time.Sleep(time.Minute)
		is.NoErr(teller.Tell(ctx, open("n.4"))) // with the first alone requests go on
		m.setDelay("far", far)
		time.Sleep(2 * time.Second)
		_, finished = m.finished("far", "n.3")
		is.True(finished)
		known, _ = m.finished("far", "n.4")
		is.True(known)
	})
}

// Requests that come within one gathering go to the second witness in one message: it
// may stand in another region, over the link that is billed by volume.
func TestSecondWitnessGetsBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		teller, m := startTeller(t)
		is.NoErr(teller.Tell(ctx, open("n.2")))
		time.Sleep(time.Second)
		before := m.sentTo("far")
		for _, request := range []string{"n.3", "n.4", "n.5", "n.6"} {
			is.NoErr(teller.Tell(ctx, open(request)))
			teller.Ended(request, 10)
		}
		time.Sleep(time.Second)
		is.Equal(m.sentTo("far"), before+1)
		_, finished := m.finished("far", "n.6")
		is.True(finished)
	})
}

// A data centre is lost, with a node in it and the witness that its requests wait for.
// The second one must stand elsewhere while any node does.
func TestSecondWitnessIsInAnotherDataCentre(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{"1", "1", "a"}, {"2", "2", "a"}, {"3", "3", "b"}, {"4", "4", "c"}}
	teller := NewReplicator(Config{Candidates: func() []Candidate { return all }})
	teller.first.witness = all[0]
	is.Equal(teller.secondCandidates(), []Candidate{all[2], all[3], all[1]})
	all = all[:2]
	is.Equal(teller.secondCandidates(), []Candidate{all[1]}) // better than none
}
