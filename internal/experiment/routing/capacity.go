package routing

import "time"

// saturation is the rate offered to measure capacity, far above what the engines can
// serve.
const saturation = 120.0

// Capacity returns the requests per second that the engines complete when they always
// have work: the most that any policy got out of them with deadlines dropped.
func Capacity(seed uint64) (perSecond float64, runs []Result) {
	s := Scenario{Name: "saturation", Load: 1, Seed: seed, Warmup: 30 * time.Second, Length: 60 * time.Second, Unbounded: true}
	for _, r := range all(Policies(), []Scenario{s}, saturation) {
		runs = append(runs, r)
		perSecond = max(perSecond, r.Completed)
	}
	return perSecond, runs
}
