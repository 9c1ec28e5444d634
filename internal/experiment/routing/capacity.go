package routing

import (
	"fmt"
	"time"
)

// saturations are rates offered to measure capacity, all above what the engines can
// serve. Far above it a policy can serve less, as more prompts compete for the caches.
var saturations = []float64{60, 75, 100}

// Capacity returns the most requests per second that the engines completed with any
// policy at any of the rates, deadlines dropped so that nothing is given up on.
func Capacity(seed uint64, seeds int) (perSecond float64, runs []Result) {
	for _, rate := range saturations {
		s := Scenario{Name: fmt.Sprintf("saturation at %.0f/s", rate), Load: 1, Seed: seed,
			Warmup: 30 * time.Second, Length: length, NoDeadlines: true}
		for _, r := range all(append(Policies(), greedy()), []Scenario{s}, rate, seeds) {
			runs = append(runs, r)
			perSecond = max(perSecond, r.Completed)
		}
	}
	return perSecond, runs
}
