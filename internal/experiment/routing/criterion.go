package routing

import (
	"fmt"
	"strings"
)

// Criterion is an acceptance criterion of the design and whether the results meet it.
type Criterion struct {
	Name     string `json:"name"`
	Holds    bool   `json:"holds"`
	Measured string `json:"measured"`
}

const (
	minOverloadGoodput  = 0.95
	maxOverloadSlowdown = 2.0
	maxRetryShare       = 0.10
	// maxSmallAccountLoss is the share of their requests that small accounts may lose from
	// their goodput because of the flash crowd.
	maxSmallAccountLoss = 0.02
)

// checkCriteria evaluates all acceptance criteria.
func checkCriteria(r Report) []Criterion {
	var criteria []Criterion
	for _, scenario := range []string{"load 80%", "load 100%", "load 130%"} {
		criteria = append(criteria, r.checkBaselines(scenario, ""), r.checkBaselines(scenario, " + admission"))
	}
	return append(criteria, r.checkOverload()...)
}

func (r Report) result(scenario, policy string) Result {
	for _, x := range r.Results {
		if x.Scenario == scenario && x.Policy == policy {
			return x
		}
	}
	return Result{}
}

// checkBaselines compares the own policy with the baselines whose names end in suffix.
func (r Report) checkBaselines(scenario, suffix string) Criterion {
	own := r.result(scenario, OwnPolicy)
	bestFirst, bestGoodput := Result{}, Result{}
	for _, p := range baselinePolicies(suffix, nil) {
		x := r.result(scenario, p.Name)
		if bestFirst.Policy == "" || x.FirstP95 < bestFirst.FirstP95 {
			bestFirst = x
		}
		if bestGoodput.Policy == "" || x.Goodput > bestGoodput.Goodput {
			bestGoodput = x
		}
	}
	name := strings.TrimSpace("Better p95 first token and goodput than every baseline " + strings.TrimPrefix(suffix, " "))
	return Criterion{
		Name:  name + ", " + scenario,
		Holds: own.FirstP95 < bestFirst.FirstP95 && own.Goodput > bestGoodput.Goodput,
		Measured: fmt.Sprintf("p95 %.0f ms against %.0f (%s); goodput %.1f/s against %.1f (%s)",
			own.FirstP95, bestFirst.FirstP95, bestFirst.Policy, own.Goodput, bestGoodput.Goodput, bestGoodput.Policy),
	}
}

func (r Report) checkOverload() []Criterion {
	normal, overloaded := r.result("load 80%", OwnPolicy), r.result("load 130%", OwnPolicy)
	crowd := r.result("flash crowd of one account at 80%", OwnPolicy)
	mostRetries := Result{}
	for _, x := range r.Results {
		if x.Policy == OwnPolicy && x.Retries >= mostRetries.Retries {
			mostRetries = x
		}
	}
	return []Criterion{
		{Name: "Goodput at 130% is at least 95% of capacity", Holds: overloaded.Goodput >= minOverloadGoodput*r.Capacity,
			Measured: fmt.Sprintf("%.1f/s of %.1f/s: %.1f%%", overloaded.Goodput, r.Capacity, 100*overloaded.Goodput/r.Capacity)},
		{Name: "p95 first token at 130% is at most twice that at 80%", Holds: overloaded.FirstP95 <= maxOverloadSlowdown*normal.FirstP95,
			Measured: fmt.Sprintf("%.0f ms against %.0f ms", overloaded.FirstP95, normal.FirstP95)},
		{Name: "Small accounts are unharmed by the flash crowd", Holds: crowd.SmallGoodShare >= normal.SmallGoodShare-maxSmallAccountLoss,
			Measured: fmt.Sprintf("%.1f%% of their requests good against %.1f%% without; p95 first token %.0f ms against %.0f ms",
				100*crowd.SmallGoodShare, 100*normal.SmallGoodShare, crowd.SmallP95, normal.SmallP95)},
		{Name: "Retries add at most 10% load in the worst fault", Holds: mostRetries.Retries <= maxRetryShare,
			Measured: fmt.Sprintf("%.1f%% (%s)", 100*mostRetries.Retries, mostRetries.Scenario)},
	}
}
