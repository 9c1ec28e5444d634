package routing

import (
	"time"

	"lavenderpin.dev/lavenderpin/admission"
)

// bulkAccount is the account with non-urgent work in the priority scenarios: the largest
// one, with 30% of the calls.
const bulkAccount = "large-a"

// Priorities compares runs with and without priorities passed to the engines, each with
// and without admission control, while one account has a lower priority.
func Priorities(seed uint64, capacity float64, seeds int) []Result {
	return runAll(priorityPolicies(), priorityScenarios(seed), capacity, seeds)
}

func priorityPolicies() []Policy {
	policy := func(name string, admit func(slots int) admission.Settings, priorities bool) Policy {
		return Policy{Name: name, Picker: newBalancer, Admission: admit, RetryBudget: true, Priorities: priorities}
	}
	return []Policy{
		policy("lavenderpin, engines not told", admission.DefaultSettings, false),
		policy("lavenderpin, engines told", admission.DefaultSettings, true),
		policy("without admission, engines not told", nil, false),
		policy("without admission, engines told", nil, true),
	}
}

func priorityScenarios(seed uint64) []Scenario {
	base := Scenario{Seed: seed, Warmup: warmup, Length: length, BulkAccount: bulkAccount}
	var list []Scenario
	for _, s := range []struct {
		name  string
		load  float64
		crowd float64
	}{
		{"bulk work of low priority, load 80%", 0.8, 0},
		{"bulk work of low priority, load 100%", 1.0, 0},
		{"bulk work of low priority, load 130%", 1.3, 0},
		{"flood of low priority at 80%", 0.8, 1},
	} {
		scenario := base
		scenario.Name, scenario.Load = s.name, s.load
		scenario.Crowd = Crowd{From: warmup + 10*time.Second, To: warmup + 40*time.Second, ExtraRate: s.crowd}
		list = append(list, scenario)
	}
	return list
}

func (r Report) writePriorities(out *errWriter) {
	out.printf("\n## Priorities: account %s has a lower one than all others\n", bulkAccount)
	out.printf("| Scenario | Policy | Urgent TTFT p50 | p95 | p99 | Urgent goodput/s | Bulk TTFT p50 | p95 | Bulk goodput/s | Refused %% |")
	out.printf("|---|---|---|---|---|---|---|---|---|---|")
	for _, x := range r.Priorities {
		out.printf("| %s | %s | %.0f | %.0f | %.0f | %.1f | %.0f | %.0f | %.1f | %.1f |", x.Scenario, x.Policy,
			x.UrgentP50, x.UrgentP95, x.UrgentP99, x.UrgentGoodput, x.BulkP50, x.BulkP95, x.BulkGoodput, 100*x.Refused)
	}
}
