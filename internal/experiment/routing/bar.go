package routing

import (
	"fmt"
	"strings"
)

// Criterion is one thing that the design must reach.
type Criterion struct {
	Name     string `json:"name"`
	Holds    bool   `json:"holds"`
	Measured string `json:"measured"`
}

const (
	leastOverloadGoodput = 0.95
	mostOverloadSlowdown = 2.0
	mostRetryShare       = 0.10
	// unharmed is how much of its goodput without the crowd a small account may lose.
	unharmed = 0.02
)

// judge compares the results with the bars of the issue.
func judge(r Report) []Criterion {
	var bars []Criterion
	for _, scenario := range []string{"load 80%", "load 100%", "load 130%"} {
		bars = append(bars, r.beatsBaselines(scenario, ""), r.beatsBaselines(scenario, " + admission"))
	}
	return append(bars, r.overload()...)
}

func (r Report) of(scenario, policy string) Result {
	for _, x := range r.Results {
		if x.Scenario == scenario && x.Policy == policy {
			return x
		}
	}
	return Result{}
}

// beatsBaselines compares with the baselines whose names end in suffix.
func (r Report) beatsBaselines(scenario, suffix string) Criterion {
	ours := r.of(scenario, OwnPolicy)
	first, goodput := Result{}, Result{}
	for _, p := range baselines(suffix, nil) {
		x := r.of(scenario, p.Name)
		if first.Policy == "" || x.FirstP95 < first.FirstP95 {
			first = x
		}
		if goodput.Policy == "" || x.Goodput > goodput.Goodput {
			goodput = x
		}
	}
	name := strings.TrimSpace("Better p95 first token and goodput than every baseline " + strings.TrimPrefix(suffix, " "))
	return Criterion{
		Name:  name + ", " + scenario,
		Holds: ours.FirstP95 < first.FirstP95 && ours.Goodput > goodput.Goodput,
		Measured: fmt.Sprintf("p95 %.0f ms against %.0f (%s); goodput %.1f/s against %.1f (%s)",
			ours.FirstP95, first.FirstP95, first.Policy, ours.Goodput, goodput.Goodput, goodput.Policy),
	}
}

func (r Report) overload() []Criterion {
	calm, full := r.of("load 80%", OwnPolicy), r.of("load 130%", OwnPolicy)
	crowd := r.of("flash crowd of one account at 80%", OwnPolicy)
	worst := Result{}
	for _, x := range r.Results {
		if x.Policy == OwnPolicy && x.Retries >= worst.Retries {
			worst = x
		}
	}
	return []Criterion{
		{Name: "Goodput at 130% is at least 95% of capacity", Holds: full.Goodput >= leastOverloadGoodput*r.Capacity,
			Measured: fmt.Sprintf("%.1f/s of %.1f/s: %.1f%%", full.Goodput, r.Capacity, 100*full.Goodput/r.Capacity)},
		{Name: "p95 first token at 130% is at most twice that at 80%", Holds: full.FirstP95 <= mostOverloadSlowdown*calm.FirstP95,
			Measured: fmt.Sprintf("%.0f ms against %.0f ms", full.FirstP95, calm.FirstP95)},
		{Name: "Small accounts are unharmed by the flash crowd", Holds: crowd.SmallGoodShare >= calm.SmallGoodShare-unharmed,
			Measured: fmt.Sprintf("%.1f%% of their requests good against %.1f%% without; p95 first token %.0f ms against %.0f ms",
				100*crowd.SmallGoodShare, 100*calm.SmallGoodShare, crowd.SmallP95, calm.SmallP95)},
		{Name: "Retries add at most 10% load in the worst fault", Holds: worst.Retries <= mostRetryShare,
			Measured: fmt.Sprintf("%.1f%% (%s)", 100*worst.Retries, worst.Scenario)},
	}
}
