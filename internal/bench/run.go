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
	// baselineShare is the part of the duration that only engines are asked, for
	// the processor time to compare with.
	baselineShare = 4
	settleLimit   = 20 * time.Second
	settlePoll    = 20 * time.Millisecond
	// plainTokens is what the sample's plain service charges for a POST.
	plainTokens = 5
)

// Run puts the load on the fleet and returns the figures.
func Run(ctx context.Context, options Options) (*Report, error) {
	if len(options.Targets) > 0 {
		l := &load{client: newClient(options), options: options, targets: options.Targets}
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
	l := &load{client: newClient(options), options: options}
	for _, d := range fleet.Daemons {
		l.targets = append(l.targets, d.Node().Settings().HTTPAddress)
	}
	for _, u := range fleet.EngineUpstreams {
		l.engines = append(l.engines, u.GetAddress())
	}
	direct, directCPU := l.timed(ctx, "baseline", options.Duration/baselineShare, 1)
	logBefore, peersBefore, appendsBefore := m.log.Load(), m.peers.Load(), m.appends.Load()
	outcomes, cpu := l.timed(ctx, "load", options.Duration, options.DirectShare)
	report := newReport(options, outcomes)
	report.BytesToLog, report.BytesToPeers = m.log.Load()-logBefore, m.peers.Load()-peersBefore
	report.BytesBetweenRegions = report.BytesToLog + report.BytesToPeers
	report.Appends = m.appends.Load() - appendsBefore
	report.costs(direct, directCPU, outcomes, cpu)
	awaitSettled(fleet, outcomes)
	return report, errors.Trace(report.judge(ctx, fleet, outcomes))
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
			time.Sleep(settlePoll)
		}
	}
	return fleet, nil
}

func (l *load) timed(ctx context.Context, name string, duration time.Duration, direct float64) ([]outcome, time.Duration) {
	before := processorTime()
	outcomes := l.run(ctx, name, duration, direct)
	return outcomes, processorTime() - before
}

// awaitSettled waits until the ledger shows what the answers cost, or a while.
func awaitSettled(fleet *devfleet.Fleet, outcomes []outcome) {
	want := uint64(0)
	for _, o := range outcomes {
		want += billable(o)
	}
	until := time.Now().Add(settleLimit)
	for time.Now().Before(until) && fleet.Daemons[0].Node().Ledger().Budget("dev-budget").Spent < want {
		time.Sleep(settlePoll)
	}
}

// billable is what a request must have cost its account.
func billable(o outcome) uint64 {
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
