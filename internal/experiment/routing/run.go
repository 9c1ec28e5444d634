package routing

import (
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"lavenderpin.dev/lavenderpin/internal/enginemodel"
)

// Result is what one policy did in one scenario.
type Result struct {
	Policy   string `json:"policy"`
	Scenario string `json:"scenario"`
	// Times in milliseconds, of admitted requests.
	FirstP50 float64 `json:"first_token_p50_ms"`
	FirstP95 float64 `json:"first_token_p95_ms"`
	FirstP99 float64 `json:"first_token_p99_ms"`
	GapP50   float64 `json:"between_tokens_p50_ms"`
	GapP95   float64 `json:"between_tokens_p95_ms"`
	GapP99   float64 `json:"between_tokens_p99_ms"`
	SmallP95 float64 `json:"small_accounts_first_token_p95_ms"`
	QueueP95 float64 `json:"admission_wait_p95_ms"`
	// Of requests that aren't bulk work, and of those that are.
	UrgentP50     float64 `json:"urgent_first_token_p50_ms"`
	UrgentP95     float64 `json:"urgent_first_token_p95_ms"`
	UrgentP99     float64 `json:"urgent_first_token_p99_ms"`
	UrgentGoodput float64 `json:"urgent_goodput_per_second"`
	BulkP50       float64 `json:"bulk_first_token_p50_ms"`
	BulkP95       float64 `json:"bulk_first_token_p95_ms"`
	BulkGoodput   float64 `json:"bulk_goodput_per_second"`
	// Goodput counts requests answered whole within the deadlines, per second.
	Goodput  float64 `json:"goodput_per_second"`
	Offered  float64 `json:"offered_per_second"`
	Answered float64 `json:"whole_per_second"`
	// Completed counts all answers that ended within the measured time, per second.
	Completed float64 `json:"completed_per_second"`
	Refused   float64 `json:"refused_share"`
	Failed    float64 `json:"failed_share"`
	CacheHit  float64 `json:"cache_hit_share"`
	Jain      float64 `json:"jain_over_teams"`
	// SmallGoodShare is the share of the small accounts' requests that were good.
	SmallGoodShare float64 `json:"small_accounts_good_share"`
	WastedTokens   int     `json:"wasted_tokens"`
	Retries        float64 `json:"retry_share"`
	CrossMB        float64 `json:"cross_region_mb"`
}

// drainTime is run on after the last arrival, so that open requests can end.
const drainTime = 40 * time.Second

// Run plays a scenario with a policy at an arrival rate per second, once for each seed
// from the scenario's on, and pools what the callers saw.
func Run(policy Policy, scenario Scenario, rate float64, seeds int) Result {
	var pooled *tally
	for i := range seeds {
		s := scenario
		s.Seed += uint64(i)
		t := play(policy, s, rate)
		if pooled == nil {
			pooled = t
			continue
		}
		pooled.merge(t)
	}
	return pooled.result(policy, seeds)
}

func play(policy Policy, scenario Scenario, rate float64) *tally {
	f := newFleet(policy, scenario)
	f.schedule(scenario)
	w := newWorkload(scenario, rate)
	f.arrive(w, modelStart.Add(scenario.Warmup+scenario.Length))
	f.sim.RunUntil(modelStart.Add(scenario.Warmup + scenario.Length + drainTime))
	for _, e := range f.engines {
		totals := e.Totals()
		f.tally.prompt += totals.PromptTokens
		f.tally.cached += totals.CachedTokens
		f.tally.wasted += totals.WastedTokens
	}
	f.tally.linkBytes = f.link.bytes
	return f.tally
}

// arrive lets callers in one after another. A caller uses any node of its region.
func (f *fleet) arrive(w *workload, end time.Time) {
	c := w.draw()
	at := modelStart.Add(c.at)
	if !at.Before(end) {
		return
	}
	f.sim.After(at.Sub(f.sim.Now()), func() {
		nodes := f.nodesOf(c.region)
		nodes[int(nodeRoll(c.id)%uint64(len(nodes)))].take(c)
		f.arrive(w, end)
	})
}

// nodeRoll spreads callers over nodes alike for every policy.
func nodeRoll(id int) uint64 { return (uint64(id) * 0x9e3779b97f4a7c15) >> 33 }

// schedule switches the scenario's faults on and off.
func (f *fleet) schedule(s Scenario) {
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

func (t *tally) result(policy Policy, seeds int) Result {
	seconds := t.scenario.Length.Seconds() * float64(seeds)
	arrivals := float64(max(t.arrivals, 1))
	return Result{
		Policy: policy.Name, Scenario: t.scenario.Name,
		FirstP50: ms(t.first, 50), FirstP95: ms(t.first, 95), FirstP99: ms(t.first, 99),
		GapP50: ms(t.gaps, 50), GapP95: ms(t.gaps, 95), GapP99: ms(t.gaps, 99), SmallP95: ms(t.small, 95), QueueP95: ms(t.queue, 95),
		UrgentP50: ms(t.urgent, 50), UrgentP95: ms(t.urgent, 95), UrgentP99: ms(t.urgent, 99), UrgentGoodput: float64(t.urgentGood) / seconds,
		BulkP50: ms(t.bulk, 50), BulkP95: ms(t.bulk, 95), BulkGoodput: float64(t.bulkGood) / seconds,
		Goodput: float64(t.good) / seconds, Offered: float64(t.arrivals) / seconds, Answered: float64(t.whole) / seconds,
		Completed: float64(t.completed) / seconds,
		Refused:   float64(t.turnedAway) / arrivals, Failed: float64(t.failures) / arrivals,
		CacheHit: float64(t.cached) / float64(max(t.prompt, 1)),
		Jain:     jain(t.asked, t.served), SmallGoodShare: float64(t.smallGood) / float64(max(t.smallArrivals, 1)),
		WastedTokens: t.wasted / seeds, Retries: float64(t.retries) / arrivals, CrossMB: t.linkBytes / 1e6 / float64(seeds),
	}
}

func ms(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// all runs every policy in every scenario, a few at a time. Each run is
// deterministic, so their order doesn't matter.
func all(policies []Policy, scenarios []Scenario, rate float64, seeds int) []Result {
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
	_ = group.Wait() // no run fails
	return results
}
