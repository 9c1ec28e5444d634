package appends

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/gather"
)

const (
	longest = int64(time.Minute / time.Microsecond)
	digits  = 3
	// budgetsInUse are those that one node settles for at a time.
	budgetsInUse = 40
	tokensEach   = 221
)

// run is one fleet under load.
type run struct {
	options Options
	fleet   *Fleet
	clock   clockwork.Clock

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// Run puts the load on a fleet for its length, in the time of the clock of package
// time, and returns what the log took and what claims waited.
func Run(options Options) Row {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	policy := gather.DefaultPolicy()
	if !options.Gathered {
		policy.MinFleetNodes = options.Nodes + 1
	}
	clock := clockwork.NewRealClock()
	r := &run{options: options, clock: clock, fleet: NewFleet(ctx, clock, policy), latency: hdrhistogram.New(1, longest, digits)}
	r.fleet.Log.SetDelay(options.LogDelay)
	r.fleet.OnCall = func(_ context.Context, _ string, handle func() *fleetv1.Response) (*fleetv1.Response, error) {
		clock.Sleep(options.PeerDelay)
		return handle(), nil
	}
	var wait sync.WaitGroup
	for i := range options.Nodes {
		n := r.fleet.Add(r.info(i), r.fleet.Log, r.fleet.Log)
		wait.Go(func() { r.load(n, uint64(i)) })
	}
	wait.Wait()
	return r.row()
}

func (r *run) info(i int) *recordv1.NodeInfo {
	name := fmt.Sprintf("3f2b8c1e-5a77-4d0e-9a6c-%012d", i)
	return &recordv1.NodeInfo{Incarnation: name, PeerAddress: name, Region: "gulf-maine", DataCentre: fmt.Sprint("casco-", i%r.options.DataCentres)}
}

// load settles at each flush and claims at odd moments, as nodes under callers do.
func (r *run) load(n *Node, number uint64) {
	random := rand.New(rand.NewPCG(r.options.Seed, number))
	end := r.clock.Now().Add(r.options.Duration)
	r.clock.Sleep(time.Duration(random.Float64() * float64(r.options.FlushDelay)))
	var wait sync.WaitGroup
	defer wait.Wait()
	due, counter := 0.0, uint64(0)
	for r.clock.Now().Before(end) {
		due += r.options.SettlementsPerSecond * r.options.FlushDelay.Seconds()
		if due >= 1 {
			n.Writer.Submit(settlements(n.Name(), counter, int(due)))
			counter += uint64(due)
			due -= float64(int(due))
		}
		if random.Float64() < r.options.ClaimsPerSecond*r.options.FlushDelay.Seconds() {
			after := time.Duration(random.Float64() * float64(r.options.FlushDelay))
			wait.Go(func() {
				r.clock.Sleep(after)
				r.note(n.MeasureSubmit(1))
			})
		}
		r.clock.Sleep(r.options.FlushDelay)
	}
}

func settlements(incarnation string, first uint64, count int) *recordv1.Entry {
	batch := &recordv1.SettlementBatch{Incarnation: incarnation, OldestOpen: first}
	for i := range uint64(count) {
		batch.Settlements = append(batch.Settlements, &recordv1.Settlement{Tokens: tokensEach,
			Request: fmt.Sprintf("%s.%d", incarnation, first+i), Budget: fmt.Sprintf("account-%05d-summaries", (first+i)%budgetsInUse)})
	}
	return &recordv1.Entry{Body: &recordv1.Entry_Settlements{Settlements: batch}}
}

func (r *run) note(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.latency.RecordValue(took.Microseconds())
}

func (r *run) row() Row {
	records := r.fleet.Records()
	size := 0
	for _, held := range records {
		size += len(held.Data)
	}
	seconds := r.options.Duration.Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	at := func(quantile float64) time.Duration {
		return time.Duration(r.latency.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Row{Options: r.options, Claims: r.latency.TotalCount(), AppendsPerSecond: float64(len(records)) / seconds,
		BytesPerSecond: float64(size) / seconds, P50: at(50), P99: at(99), Max: at(100)}
}
