package recovery

import (
	"context"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/upstream"
)

// EngineWait is how long recovery waits for an engine that still runs a request of
// a dead node, or doesn't answer.
const EngineWait = 5 * time.Minute

// source tells where the figure comes from that a recovered request is billed by.
type source string

const (
	fromNode    source = "node"
	fromEngine  source = "engine"
	neverRan    source = "never ran"
	worstCase   source = "worst case"
	undecided   source = ""
	askInterval        = 2 * time.Second
)

// outcome is what a request under one id is billed.
type outcome struct {
	tokens uint64
	from   source
}

// outcomeOf decides what an open request is billed:
//   - what its node said, when the node had finished it;
//   - what the engine counted;
//   - nothing, when the engine never saw it. It is cancelled there first: the dead
//     node may only be paused between its last check and its send, and a cancelled
//     id does no work when it arrives;
//   - all that was reserved, when the engine can't tell within EngineWait or the
//     upstream is a plain service: it may have run, and tokens given back could be
//     spent again.
func outcomeOf(ctx context.Context, engines Engines, open *fleetv1.OpenRequest, waited time.Duration) outcome {
	if known := factOf(ctx, engines, open); known.from != undecided {
		return known
	}
	if !engines.ReportsUsage(open.GetUpstream()) {
		return outcome{open.GetReserved(), worstCase}
	}
	report, err := engines.Usage(ctx, open.GetUpstream(), open.GetDispatchedAs())
	if err == nil && report.State == upstream.UsageUnknown {
		if engines.Cancel(ctx, open.GetUpstream(), open.GetDispatchedAs()) == nil {
			return outcome{0, neverRan}
		}
	}
	if waited < EngineWait || engines.Cancel(ctx, open.GetUpstream(), open.GetDispatchedAs()) != nil {
		return orWorst(open, waited)
	}
	if report, err = engines.Usage(ctx, open.GetUpstream(), open.GetDispatchedAs()); err == nil && report.State == upstream.UsageFinished {
		return outcome{budget.BilledTokens(open, report.Total()), fromEngine}
	}
	return orWorst(open, waited)
}

// factOf is what the node said or the engine counted of an open request; undecided
// when neither has finished it.
func factOf(ctx context.Context, engines Engines, open *fleetv1.OpenRequest) outcome {
	if open.GetFinished() {
		return outcome{budget.BilledTokens(open, open.GetUsed()), fromNode}
	}
	if !engines.ReportsUsage(open.GetUpstream()) {
		return outcome{}
	}
	report, err := engines.Usage(ctx, open.GetUpstream(), open.GetDispatchedAs())
	if err != nil || report.State != upstream.UsageFinished {
		return outcome{}
	}
	return outcome{budget.BilledTokens(open, report.Total()), fromEngine}
}

func orWorst(open *fleetv1.OpenRequest, waited time.Duration) outcome {
	if waited < EngineWait {
		return outcome{}
	}
	return outcome{open.GetReserved(), worstCase}
}
