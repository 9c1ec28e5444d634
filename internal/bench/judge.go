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

// falseRefusals are refusals that this load never deserves: its budget is larger
// than all that it can ask for.
var falseRefusals = map[string]bool{
	"2001 NoBudget": true, "2002 BudgetSpent": true, "2003 BudgetUnreachable": true, "2004 SpendRightLapsed": true,
	"5001 NotServing": true, "4001 NoUpstream": true,
}

// newReport counts what callers saw.
func newReport(options Options, outcomes []outcome) *Report {
	r := &Report{Seed: options.Seed, Rate: options.Rate, Seconds: options.Duration.Seconds(), Codes: map[string]int{}}
	routed, direct := newHistogram(), newHistogram()
	routedFirst, directFirst := newHistogram(), newHistogram()
	for _, o := range outcomes {
		if o.kind == kindDirect {
			record(direct, o.latency, o.ok())
			record(directFirst, o.first, o.ok())
			continue
		}
		r.count(o)
		record(routed, o.latency, o.ok() && o.kind != kindPlain)
		record(routedFirst, o.first, o.ok() && o.kind == kindStream)
	}
	r.RoutedP50MS, r.RoutedP99MS = quantile(routed, 50), quantile(routed, 99)
	r.DirectP50MS, r.DirectP99MS = quantile(direct, 50), quantile(direct, 99)
	r.AddedP50MS, r.AddedP99MS = round(r.RoutedP50MS-r.DirectP50MS), round(r.RoutedP99MS-r.DirectP99MS)
	r.AddedFirstP50MS = round(quantile(routedFirst, 50) - quantile(directFirst, 50))
	r.AddedFirstP99MS = round(quantile(routedFirst, 99) - quantile(directFirst, 99))
	return r
}

func record(into *hdrhistogram.Histogram, d time.Duration, wanted bool) {
	if wanted {
		_ = into.RecordValue(d.Microseconds())
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func round(ms float64) float64 { return math.Round(ms*1000) / 1000 }

func (r *Report) count(o outcome) {
	r.Requests++
	switch {
	case o.ok():
		r.OK++
		r.AnsweredTokens += billable(o)
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

func (r *Report) costs(baseline []outcome, baselineCPU time.Duration, outcomes []outcome, cpu time.Duration) {
	directs := 0
	for _, o := range outcomes {
		if o.kind == kindDirect {
			directs++
		}
	}
	r.CPUDirectUS = round(float64(baselineCPU.Microseconds()) / float64(max(1, len(baseline))))
	routed := float64(max(1, len(outcomes)-directs))
	r.CPUPerRequestUS = round((float64(cpu.Microseconds()) - float64(directs)*r.CPUDirectUS) / routed)
	r.CPUAddedUS = round(r.CPUPerRequestUS - r.CPUDirectUS)
}

// judge compares what callers saw with the log and with the plain services.
func (r *Report) judge(ctx context.Context, fleet *devfleet.Fleet, outcomes []outcome) error {
	bills, err := billsOf(ctx, fleet)
	if err != nil {
		return errors.Trace(err)
	}
	line := fleet.Daemons[0].Node().Ledger().Budget("dev-budget")
	r.BilledTokens = line.Spent
	r.OverspendTokens = fleet.Daemons[0].Node().Ledger().Excess()
	if line.Spent > line.Prepaid {
		r.OverspendTokens += line.Spent - line.Prepaid
	}
	answered := map[string]bool{}
	for _, o := range outcomes {
		if o.kind == kindDirect || o.kind == kindPlain || !o.ok() {
			continue
		}
		answered[o.request] = true
		switch billed := bills[o.request]; {
		case billed < o.tokens:
			r.Unbilled++
		case billed > o.tokens:
			r.DoubleBilled++
		}
	}
	r.judgePlain(fleet, outcomes, bills, answered)
	return nil
}

// judgePlain holds the bills that no completion explains against the plain calls,
// whose answers carry no request id.
func (r *Report) judgePlain(fleet *devfleet.Fleet, outcomes []outcome, bills map[string]uint64, answered map[string]bool) {
	calls := 0
	for _, o := range outcomes {
		if o.kind == kindPlain && o.ok() {
			calls++
		}
	}
	billed := 0
	for request, tokens := range bills {
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

// billsOf adds up the log's settlements by request.
func billsOf(ctx context.Context, fleet *devfleet.Fleet) (map[string]uint64, error) {
	const pageRecords = 1000
	bills := map[string]uint64{}
	for from := uint64(1); ; {
		slice, err := fleet.Log.Read(ctx, fleet.Daemons[0].Node().Settings().Stream, from, pageRecords, 0)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(slice.Records) == 0 {
			return bills, nil
		}
		for _, held := range slice.Records {
			from = held.Offset + 1
			batches, err := logrecord.Decode(held.Data)
			if err != nil {
				continue
			}
			for _, batch := range batches {
				addBills(bills, batch)
			}
		}
	}
}

func addBills(bills map[string]uint64, batch *recordv1.Batch) {
	for _, entry := range batch.GetEntries() {
		for _, s := range entry.GetSettlements().GetSettlements() {
			bills[s.GetRequest()] += s.GetTokens()
		}
	}
}
