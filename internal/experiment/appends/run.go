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
	maxLatency        = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	// budgetsPerNode is the number of budgets that one node settles for at a time.
	budgetsPerNode      = 40
	tokensPerSettlement = 221
)

// run is one run of a fleet under load.
type run struct {
	options Options
	fleet   *Fleet
	clock   clockwork.Clock

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// Run applies the load to a fleet for options.Duration on the clock of package time, and
// returns the rates at the log and the latencies of claims.
func Run(options Options) Row {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	policy := gather.DefaultPolicy()
	if !options.Gathered {
		policy.MinFleetNodes = options.Nodes + 1
	}
	clock := clockwork.NewRealClock()
	r := &run{options: options, clock: clock, fleet: NewFleet(ctx, clock, policy), latency: hdrhistogram.New(1, maxLatency, significantDigits)}
	r.fleet.Log.SetDelay(options.LogDelay)
	r.fleet.OnCall = func(_ context.Context, _ string, handle func() *fleetv1.Response) (*fleetv1.Response, error) {
		clock.Sleep(options.PeerDelay)
		return handle(), nil
	}
	var wg sync.WaitGroup
	for i := range options.Nodes {
		n := r.fleet.Add(r.nodeInfo(i), r.fleet.Log, r.fleet.Log)
		wg.Go(func() { r.generateLoad(n, uint64(i)) })
	}
	wg.Wait()
	return r.result()
}

func (r *run) nodeInfo(i int) *recordv1.NodeInfo {
	name := fmt.Sprintf("3f2b8c1e-5a77-4d0e-9a6c-%012d", i)
	return &recordv1.NodeInfo{Incarnation: name, PeerAddress: name, Region: "gulf-maine", DataCentre: fmt.Sprint("casco-", i%r.options.DataCentres)}
}

// generateLoad submits settlements at each flush and claims at random times, like a node
// with client traffic.
func (r *run) generateLoad(n *Node, id uint64) {
	random := rand.New(rand.NewPCG(r.options.Seed, id))
	end := r.clock.Now().Add(r.options.Duration)
	r.clock.Sleep(time.Duration(random.Float64() * float64(r.options.FlushDelay)))
	var wg sync.WaitGroup
	defer wg.Wait()
	due, next := 0.0, uint64(0)
	for r.clock.Now().Before(end) {
		due += r.options.SettlementsPerSecond * r.options.FlushDelay.Seconds()
		if due >= 1 {
			n.Writer.Submit(settlementEntry(n.Name(), next, int(due)))
			next += uint64(due)
			due -= float64(int(due))
		}
		if random.Float64() < r.options.ClaimsPerSecond*r.options.FlushDelay.Seconds() {
			delay := time.Duration(random.Float64() * float64(r.options.FlushDelay))
			wg.Go(func() {
				r.clock.Sleep(delay)
				r.recordLatency(n.MeasureSubmit(1))
			})
		}
		r.clock.Sleep(r.options.FlushDelay)
	}
}

func settlementEntry(incarnation string, first uint64, count int) *recordv1.Entry {
	batch := &recordv1.SettlementBatch{Incarnation: incarnation, OldestOpen: first}
	for i := range uint64(count) {
		batch.Settlements = append(batch.Settlements, &recordv1.Settlement{Tokens: tokensPerSettlement,
			Request: fmt.Sprintf("%s.%d", incarnation, first+i), Budget: fmt.Sprintf("account-%05d-summaries", (first+i)%budgetsPerNode)})
	}
	return &recordv1.Entry{Body: &recordv1.Entry_Settlements{Settlements: batch}}
}

func (r *run) recordLatency(elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.latency.RecordValue(elapsed.Microseconds())
}

func (r *run) result() Row {
	records := r.fleet.Records()
	size := 0
	for _, record := range records {
		size += len(record.Data)
	}
	seconds := r.options.Duration.Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	percentile := func(quantile float64) time.Duration {
		return time.Duration(r.latency.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Row{Options: r.options, Claims: r.latency.TotalCount(), AppendsPerSecond: float64(len(records)) / seconds,
		BytesPerSecond: float64(size) / seconds, P50: percentile(50), P99: percentile(99), Max: percentile(100)}
}
