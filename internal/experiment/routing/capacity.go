package routing

import (
	"fmt"
	"time"
)

// saturationRates are the arrival rates used to measure capacity, all higher than the
// engines can serve. Throughput can drop at much higher rates, because more prompts
// compete for the caches.
var saturationRates = []float64{60, 75, 100}

// Capacity returns the maximum number of requests per second that the engines completed
// with any policy at any saturation rate. Deadlines are disabled, so that no request is
// abandoned.
func Capacity(seed uint64, seeds int) (perSecond float64, runs []Result) {
	for _, rate := range saturationRates {
		s := Scenario{Name: fmt.Sprintf("saturation at %.0f/s", rate), Load: 1, Seed: seed,
			Warmup: 30 * time.Second, Length: length, NoDeadlines: true}
		for _, r := range runAll(append(Policies(), greedyPolicy()), []Scenario{s}, rate, seeds) {
			runs = append(runs, r)
			perSecond = max(perSecond, r.Completed)
		}
	}
	return perSecond, runs
}
