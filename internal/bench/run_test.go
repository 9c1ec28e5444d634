package bench

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/devfleet"
	"lavenderpin.dev/lavenderpin/internal/standin"
)

func shortOptions() Options {
	return Options{Seed: 1, Rate: 40, Duration: time.Second, StreamShare: 0.5, PlainShare: 0.2, DirectShare: 0.2}
}

func TestRunReportsNoDiscrepancyWithoutFaults(t *testing.T) {
	is := is.New(t)
	report, err := Run(context.Background(), shortOptions())
	is.NoErr(err)
	is.True(report.Requests > 10)
	is.Equal(report.OK, report.Requests)
	is.Equal(report.OverspendTokens, uint64(0))
	is.Equal(report.DoubleBilled+report.Unbilled+report.DoubleRuns+report.Lost+report.Truncated+report.Crossed, 0)
	is.True(report.BilledTokens > 0)
	is.True(report.BytesToLog > 0)
}

// An engine that ends its streams early without an error leaves a caller with half
// a summary, if nobody looks for the terminal marker. Asked straight, it shows that
// the load generator would see it.
func TestClientDetectsTruncatedAndCrossedAnswers(t *testing.T) {
	is := is.New(t)
	fleet, err := devfleet.Start(devfleet.Options{Engines: []devfleet.Location{{Region: homeRegion, DataCentre: "casco"}},
		Engine: standin.EngineOptions{CutAfter: 3}})
	is.NoErr(err)
	defer fleet.Stop()
	c := newClient(Options{Model: devfleet.SampleModel})
	o := c.chat(context.Background(), kindDirect, fleet.EngineUpstreams[0].GetAddress(), "a", promptOf("a", minWords))
	is.Equal(o.status, 200)
	is.True(!o.ok())
	report := newReport(shortOptions(), []outcome{{kind: kindStream, status: 200}, {kind: kindStream, status: 200, whole: true, crossed: true}})
	is.Equal(report.Truncated, 1)
	is.Equal(report.Crossed, 1)
}
