package routing

import (
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"lavenderpin.dev/lavenderpin/internal/enginemodel"
)

// Result holds the results of one policy in one scenario.
type Result struct {
	Policy   string `json:"policy"`
	Scenario string `json:"scenario"`
	// Latencies of admitted requests, in milliseconds.
	FirstP50 float64 `json:"first_token_p50_ms"`
	FirstP95 float64 `json:"first_token_p95_ms"`
	FirstP99 float64 `json:"first_token_p99_ms"`
	GapP50   float64 `json:"between_tokens_p50_ms"`
	GapP95   float64 `json:"between_tokens_p95_ms"`
	GapP99   float64 `json:"between_tokens_p99_ms"`
	SmallP95 float64 `json:"small_accounts_first_token_p95_ms"`
	QueueP95 float64 `json:"admission_wait_p95_ms"`
	// Results for requests of all other accounts (urgent) and of the bulk account.
	UrgentP50     float64 `json:"urgent_first_token_p50_ms"`
	UrgentP95     float64 `json:"urgent_first_token_p95_ms"`
	UrgentP99     float64 `json:"urgent_first_token_p99_ms"`
	UrgentGoodput float64 `json:"urgent_goodput_per_second"`
	BulkP50       float64 `json:"bulk_first_token_p50_ms"`
	BulkP95       float64 `json:"bulk_first_token_p95_ms"`
	BulkGoodput   float64 `json:"bulk_goodput_per_second"`
	// Goodput is the rate of requests answered completely within the deadlines.
	Goodput  float64 `json:"goodput_per_second"`
	Offered  float64 `json:"offered_per_second"`
	Answered float64 `json:"whole_per_second"`
	// Completed is the rate of all answers that ended within the measured period.
	Completed float64 `json:"completed_per_second"`
	Refused   float64 `json:"refused_share"`
	Failed    float64 `json:"failed_share"`
	CacheHit  float64 `json:"cache_hit_share"`
	Jain      float64 `json:"jain_over_teams"`
	// SmallGoodShare is the share of the small accounts' requests that count as goodput.
	SmallGoodShare float64 `json:"small_accounts_good_share"`
	WastedTokens   int     `json:"wasted_tokens"`
	Retries        float64 `json:"retry_share"`
	CrossMB        float64 `json:"cross_region_mb"`
}

// drainTime is how long a run goes on after the last arrival, so that requests in flight
// can finish.
const drainTime = 40 * time.Second

// Run simulates a scenario under a policy at an arrival rate per second, for the given
// number of consecutive seeds beginning with the scenario's, and pools the results.
func Run(policy Policy, scenario Scenario, rate float64, seeds int) Result {
	var pooled *metrics
	for i := range seeds {
		s := scenario
		s.Seed += uint64(i)
		m := simulate(policy, s, rate)
		if pooled == nil {
			pooled = m
			continue
		}
		pooled.merge(m)
	}
	return pooled.result(policy, seeds)
}

func simulate(policy Policy, scenario Scenario, rate float64) *metrics {
	f := newFleet(policy, scenario)
	f.scheduleFaults(scenario)
	w := newWorkload(scenario, rate)
	f.scheduleArrivals(w, modelStart.Add(scenario.Warmup+scenario.Length))
	f.sim.RunUntil(modelStart.Add(scenario.Warmup + scenario.Length + drainTime))
	for _, e := range f.engines {
		totals := e.Totals()
		f.metrics.prompt += totals.PromptTokens
		f.metrics.cached += totals.CachedTokens
		f.metrics.wasted += totals.WastedTokens
	}
	f.metrics.linkBytes = f.link.bytes
	return f.metrics
}

// scheduleArrivals schedules the next arrival, which schedules the one after it. A call
// goes to a pseudo-random node of its region.
func (f *fleet) scheduleArrivals(w *workload, end time.Time) {
	c := w.draw()
	at := modelStart.Add(c.at)
	if !at.Before(end) {
		return
	}
	f.sim.After(at.Sub(f.sim.Now()), func() {
		nodes := f.nodesOf(c.region)
		nodes[int(nodeHash(c.id)%uint64(len(nodes)))].handle(c)
		f.scheduleArrivals(w, end)
	})
}

// nodeHash spreads calls over nodes in the same way for every policy.
func nodeHash(id int) uint64 { return (uint64(id) * 0x9e3779b97f4a7c15) >> 33 }

// scheduleFaults schedules the onset of and the recovery from the scenario's faults.
func (f *fleet) scheduleFaults(s Scenario) {
	set := func(on bool) func() {
		return func() {
			f.link.cut = on && s.CutLink
			for name, faults := range s.Faults {
				if !on {
					faults = enginemodel.Faults{}
				}
				f.byName[name].SetFaults(faults)
			}
		}
	}
	f.sim.After(s.Warmup+s.Onset, set(true))
	if s.Recovery > 0 {
		f.sim.After(s.Warmup+s.Recovery, set(false))
	}
}

func (m *metrics) result(policy Policy, seeds int) Result {
	seconds := m.scenario.Length.Seconds() * float64(seeds)
	arrivals := float64(max(m.arrivals, 1))
	return Result{
		Policy: policy.Name, Scenario: m.scenario.Name,
		FirstP50: quantileMS(m.firstToken, 50), FirstP95: quantileMS(m.firstToken, 95),
		FirstP99: quantileMS(m.firstToken, 99),
		GapP50:   quantileMS(m.tokenGaps, 50), GapP95: quantileMS(m.tokenGaps, 95),
		GapP99:   quantileMS(m.tokenGaps, 99),
		SmallP95: quantileMS(m.smallFirstToken, 95), QueueP95: quantileMS(m.admissionWait, 95),
		UrgentP50: quantileMS(m.urgentFirstToken, 50), UrgentP95: quantileMS(m.urgentFirstToken, 95),
		UrgentP99: quantileMS(m.urgentFirstToken, 99), UrgentGoodput: float64(m.urgentWithinDeadlines) / seconds,
		BulkP50: quantileMS(m.bulkFirstToken, 50), BulkP95: quantileMS(m.bulkFirstToken, 95),
		BulkGoodput: float64(m.bulkWithinDeadlines) / seconds,
		Goodput:     float64(m.withinDeadlines) / seconds, Offered: float64(m.arrivals) / seconds,
		Answered:  float64(m.answered) / seconds,
		Completed: float64(m.completed) / seconds,
		Refused:   float64(m.refusals) / arrivals, Failed: float64(m.failures) / arrivals,
		CacheHit:       float64(m.cached) / float64(max(m.prompt, 1)),
		Jain:           jainIndex(m.requestedTokens, m.servedTokens),
		SmallGoodShare: float64(m.smallWithinDeadlines) / float64(max(m.smallArrivals, 1)),
		WastedTokens:   m.wasted / seeds, Retries: float64(m.retries) / arrivals, CrossMB: m.linkBytes / 1e6 / float64(seeds),
	}
}

func quantileMS(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// runAll runs every policy in every scenario, with limited concurrency. Each run is
// deterministic, so their order doesn't matter.
func runAll(policies []Policy, scenarios []Scenario, rate float64, seeds int) []Result {
	results := make([]Result, len(policies)*len(scenarios))
	var group errgroup.Group
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/3))
	for i, s := range scenarios {
		for j, p := range policies {
			group.Go(func() error {
				results[i*len(policies)+j] = Run(p, s, rate*s.Load, seeds)
				return nil
			})
		}
	}
	_ = group.Wait() // runs never return an error
	return results
}
