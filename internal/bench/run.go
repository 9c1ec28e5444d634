package bench

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"lavenderpin.dev/lavenderpin/devfleet"
	"lavenderpin.dev/lavenderpin/internal/standin"
)

const (
	homeRegion = "gulf-maine"
	awayRegion = "southern-new-england"
	// baselineDivisor divides the duration to get that of the baseline run, which sends
	// requests only to engines and gives the CPU time to compare with.
	baselineDivisor = 4
	settleTimeout   = 20 * time.Second
	pollInterval    = 20 * time.Millisecond
	// plainTokens is the charge of the sample configuration's plain service for a POST.
	plainTokens = 5
)

// Run runs the load against the fleet and returns the results.
func Run(ctx context.Context, options Options) (*Report, error) {
	if len(options.Targets) > 0 {
		l := &loadGenerator{client: newClient(options), options: options, targets: options.Targets}
		report := newReport(options, l.run(ctx, "load", options.Duration, 0))
		report.NotMeasured = []string{"overspend_tokens", "double_billed", "unbilled", "double_runs", "added latency", "cpu_per_request_us", "bytes_between_regions"}
		return report, nil
	}
	return runEmbedded(ctx, options)
}

func runEmbedded(ctx context.Context, options Options) (*Report, error) {
	m := newMeter(homeRegion)
	fleet, err := startFleet(ctx, options, m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer fleet.Stop()
	options.Key, options.Model, options.PlainService = devfleet.SampleAccountKey, devfleet.SampleModel, "orders"
	l := &loadGenerator{client: newClient(options), options: options}
	for _, d := range fleet.Daemons {
		l.targets = append(l.targets, d.Node().Settings().HTTPAddress)
	}
	for _, u := range fleet.EngineUpstreams {
		l.engines = append(l.engines, u.GetAddress())
	}
	direct, directCPU := l.runTimed(ctx, "baseline", options.Duration/baselineDivisor, 1)
	logBefore, peersBefore, appendsBefore := m.logBytes.Load(), m.peerBytes.Load(), m.appends.Load()
	outcomes, cpu := l.runTimed(ctx, "load", options.Duration, options.DirectShare)
	report := newReport(options, outcomes)
	report.BytesToLog, report.BytesToPeers = m.logBytes.Load()-logBefore, m.peerBytes.Load()-peersBefore
	report.BytesBetweenRegions = report.BytesToLog + report.BytesToPeers
	report.Appends = m.appends.Load() - appendsBefore
	report.recordCPU(direct, directCPU, outcomes, cpu)
	waitSettled(fleet, outcomes)
	return report, errors.Trace(report.reconcile(ctx, fleet, outcomes))
}

func startFleet(ctx context.Context, options Options, m *meter) (*devfleet.Fleet, error) {
	casco, penobscot := devfleet.Location{Region: homeRegion, DataCentre: "casco"}, devfleet.Location{Region: homeRegion, DataCentre: "penobscot"}
	buzzards := devfleet.Location{Region: awayRegion, DataCentre: "buzzards"}
	fleet, err := devfleet.Start(devfleet.Options{
		Nodes:         []devfleet.Location{casco, casco, penobscot, penobscot, buzzards, buzzards},
		Engines:       []devfleet.Location{casco, casco, penobscot, penobscot, buzzards, buzzards},
		PlainServices: []devfleet.Location{casco, penobscot, buzzards},
		Engine:        standin.EngineOptions{TokenTime: options.TokenTime},
		WrapLog:       m.wrapLog, WrapSocket: m.wrapSocket,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	sample := fleet.SampleConfig()
	sample.TopUps[0].Tokens = 1 << 40
	if err := fleet.Apply(ctx, sample); err != nil {
		fleet.Stop()
		return nil, errors.Trace(err)
	}
	for _, d := range fleet.Daemons {
		for d.Node().Ledger().Budget("dev-budget").Prepaid == 0 {
			time.Sleep(pollInterval)
		}
	}
	return fleet, nil
}

func (l *loadGenerator) runTimed(ctx context.Context, name string, duration time.Duration, directShare float64) ([]outcome, time.Duration) {
	before := cpuTime()
	outcomes := l.run(ctx, name, duration, directShare)
	return outcomes, cpuTime() - before
}

// waitSettled waits until the ledger shows the expected charge of all answers, or until
// settleTimeout.
func waitSettled(fleet *devfleet.Fleet, outcomes []outcome) {
	want := uint64(0)
	for _, o := range outcomes {
		want += expectedTokens(o)
	}
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) && fleet.Daemons[0].Node().Ledger().Budget("dev-budget").Spent < want {
		time.Sleep(pollInterval)
	}
}

// expectedTokens returns the tokens that a request must be charged to its account.
func expectedTokens(o outcome) uint64 {
	switch {
	case !o.ok() || o.kind == kindDirect:
		return 0
	case o.kind == kindPlain:
		return plainTokens
	}
	return o.tokens
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(2*clientTimeout/time.Microsecond), 3)
}
