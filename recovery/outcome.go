package recovery

import (
	"context"
	"time"

	fleetv1 "lavenderpin.dev/lavenderpin/api/fleet/v1"
	"lavenderpin.dev/lavenderpin/budget"
	"lavenderpin.dev/lavenderpin/upstream"
)

// EngineWait is how long recovery waits for an engine that still runs a request of a
// dead node or doesn't answer.
const EngineWait = 5 * time.Minute

// source is where the amount billed for a recovered request comes from.
type source string

const (
	fromNode     source = "node"
	fromEngine   source = "engine"
	neverRan     source = "never ran"
	worstCase    source = "worst case"
	undecided    source = ""
	stepInterval        = 2 * time.Second
)

// outcome is what one recovered request is billed.
type outcome struct {
	tokens uint64
	from   source
}

// outcomeOf decides what an open request is billed:
//   - what its node reported, if the node had finished it;
//   - what the engine counted;
//   - nothing, if the engine never received it. It is cancelled there first: the dead
//     node may only be paused between its last check and its send, and the engine does
//     no work for a cancelled ID that arrives later;
//   - all that was reserved, if the engine can't tell within EngineWait or the upstream
//     is a plain service: the request may have run, and released tokens could be spent
//     again.
func outcomeOf(ctx context.Context, engines Engines, open *fleetv1.OpenRequest, waited time.Duration) outcome {
	if known := knownOutcome(ctx, engines, open); known.from != undecided {
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
		return worstCaseAfterWait(open, waited)
	}
	if report, err = engines.Usage(ctx, open.GetUpstream(), open.GetDispatchedAs()); err == nil && report.State == upstream.UsageFinished {
		return outcome{budget.BilledTokens(open, report.Total()), fromEngine}
	}
	return worstCaseAfterWait(open, waited)
}

// knownOutcome returns what the node reported or the engine counted for an open request, or
// an undecided outcome if neither has finished it.
func knownOutcome(ctx context.Context, engines Engines, open *fleetv1.OpenRequest) outcome {
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

func worstCaseAfterWait(open *fleetv1.OpenRequest, waited time.Duration) outcome {
	if waited < EngineWait {
		return outcome{}
	}
	return outcome{open.GetReserved(), worstCase}
}
