package bench

import (
	"context"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/devfleet"
	logrecord "lavenderpin.dev/lavenderpin/record"
)

// falseRefusals holds the result codes that this load must never get: its budget is larger
// than all the tokens that it can request.
var falseRefusals = map[string]bool{
	"2001 NoBudget": true, "2002 BudgetSpent": true, "2003 BudgetUnreachable": true, "2004 SpendRightLapsed": true,
	"5001 NotServing": true, "4001 NoUpstream": true,
}

// newReport aggregates the outcomes that callers observed.
func newReport(options Options, outcomes []outcome) *Report {
	r := &Report{Seed: options.Seed, Rate: options.Rate, Seconds: options.Duration.Seconds(), Codes: map[string]int{}}
	routed, direct := newHistogram(), newHistogram()
	routedFirst, directFirst := newHistogram(), newHistogram()
	for _, o := range outcomes {
		if o.kind == kindDirect {
			recordLatency(direct, o.latency, o.ok())
			recordLatency(directFirst, o.firstByte, o.ok())
			continue
		}
		r.countOutcome(o)
		recordLatency(routed, o.latency, o.ok() && o.kind != kindPlain)
		recordLatency(routedFirst, o.firstByte, o.ok() && o.kind == kindStream)
	}
	r.RoutedP50MS, r.RoutedP99MS = percentileMS(routed, 50), percentileMS(routed, 99)
	r.DirectP50MS, r.DirectP99MS = percentileMS(direct, 50), percentileMS(direct, 99)
	r.AddedP50MS, r.AddedP99MS = roundThousandths(r.RoutedP50MS-r.DirectP50MS), roundThousandths(r.RoutedP99MS-r.DirectP99MS)
	r.AddedFirstP50MS = roundThousandths(percentileMS(routedFirst, 50) - percentileMS(directFirst, 50))
	r.AddedFirstP99MS = roundThousandths(percentileMS(routedFirst, 99) - percentileMS(directFirst, 99))
	return r
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration, include bool) {
	if include {
		_ = h.RecordValue(d.Microseconds())
	}
}

func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

func roundThousandths(value float64) float64 { return math.Round(value*1000) / 1000 }

func (r *Report) countOutcome(o outcome) {
	r.Requests++
	switch {
	case o.ok():
		r.OK++
		r.AnsweredTokens += expectedTokens(o)
	case o.lost:
		r.Lost++
	case o.crossed:
		r.Crossed++
	case o.status == 200 && o.code == "":
		r.Truncated++
	default:
		r.Refused++
		r.Codes[o.code]++
		if falseRefusals[o.code] {
			r.FalseRefusals++
		}
	}
}

func (r *Report) recordCPU(baseline []outcome, baselineCPU time.Duration, outcomes []outcome, cpu time.Duration) {
	directCount := 0
	for _, o := range outcomes {
		if o.kind == kindDirect {
			directCount++
		}
	}
	r.CPUDirectUS = roundThousandths(float64(baselineCPU.Microseconds()) / float64(max(1, len(baseline))))
	routed := float64(max(1, len(outcomes)-directCount))
	r.CPUPerRequestUS = roundThousandths((float64(cpu.Microseconds()) - float64(directCount)*r.CPUDirectUS) / routed)
	r.CPUAddedUS = roundThousandths(r.CPUPerRequestUS - r.CPUDirectUS)
}

// reconcile compares the outcomes that callers observed with the settlements in the log and
// with the calls that the plain services ran.
func (r *Report) reconcile(ctx context.Context, fleet *devfleet.Fleet, outcomes []outcome) error {
	billedTokens, err := billedByRequest(ctx, fleet)
	if err != nil {
		return errors.Trace(err)
	}
	entry := fleet.Daemons[0].Node().Ledger().Budget("dev-budget")
	r.BilledTokens = entry.Spent
	r.OverspendTokens = fleet.Daemons[0].Node().Ledger().Excess()
	if entry.Spent > entry.Prepaid {
		r.OverspendTokens += entry.Spent - entry.Prepaid
	}
	answered := map[string]bool{}
	for _, o := range outcomes {
		if o.kind == kindDirect || o.kind == kindPlain || !o.ok() {
			continue
		}
		answered[o.requestID] = true
		switch billed := billedTokens[o.requestID]; {
		case billed < o.tokens:
			r.Unbilled++
		case billed > o.tokens:
			r.DoubleBilled++
		}
	}
	r.reconcilePlain(fleet, outcomes, billedTokens, answered)
	return nil
}

// reconcilePlain matches the settlements that belong to no completion with the plain calls
// by count, because answers to plain calls carry no request id.
func (r *Report) reconcilePlain(fleet *devfleet.Fleet, outcomes []outcome, billedTokens map[string]uint64, answered map[string]bool) {
	calls := 0
	for _, o := range outcomes {
		if o.kind == kindPlain && o.ok() {
			calls++
		}
	}
	billed := 0
	for request, tokens := range billedTokens {
		if !answered[request] && tokens == plainTokens {
			billed++
		}
	}
	r.Unbilled += max(0, calls-billed)
	r.DoubleBilled += max(0, billed-calls)
	runs := map[string]int{}
	for _, service := range fleet.PlainServices {
		for body, n := range service.Runs() {
			runs[body] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.DoubleRuns++
		}
	}
	for _, o := range outcomes {
		if o.kind == kindPlain && o.ok() && runs[o.id] == 0 {
			r.Lost++
		}
	}
}

// billedByRequest sums the tokens of the settlements in the log by request.
func billedByRequest(ctx context.Context, fleet *devfleet.Fleet) (map[string]uint64, error) {
	const pageSize = 1000
	billed := map[string]uint64{}
	for from := uint64(1); ; {
		result, err := fleet.Log.Read(ctx, fleet.Daemons[0].Node().Settings().Stream, from, pageSize, 0)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(result.Records) == 0 {
			return billed, nil
		}
		for _, record := range result.Records {
			from = record.Offset + 1
			batches, err := logrecord.Decode(record.Data)
			if err != nil {
				continue
			}
			for _, batch := range batches {
				addSettlements(billed, batch)
			}
		}
	}
}

func addSettlements(billed map[string]uint64, batch *recordv1.Batch) {
	for _, entry := range batch.GetEntries() {
		for _, s := range entry.GetSettlements().GetSettlements() {
			billed[s.GetRequest()] += s.GetTokens()
		}
	}
}
