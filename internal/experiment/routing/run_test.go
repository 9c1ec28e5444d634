package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortScenario returns a scenario that takes a fraction of a second to simulate.
func shortScenario(load float64) Scenario {
	return Scenario{Name: "short", Load: load, Seed: 1, Warmup: 5 * time.Second, Length: 20 * time.Second}
}

// Policies can only be compared if results don't vary between runs of the same seed.
func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	for _, p := range Policies() {
		is.Equal(Run(p, shortScenario(1), 40, 1), Run(p, shortScenario(1), 40, 1))
	}
}

// Under overload without admission control, every request is late: goodput collapses
// although the engines are busy all the time.
func TestAdmissionKeepsGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	policies := Policies()
	own, withoutAdmission := Run(policies[0], shortScenario(1), 90, 1), Run(policies[1], shortScenario(1), 90, 1)
	is.True(own.Goodput > 45)
	is.True(withoutAdmission.Goodput < own.Goodput/2)
	is.Equal(own.Failed, 0.0)
}

func TestJainIndexUsesMaxMinShares(t *testing.T) {
	is := is.New(t)
	requested := map[string]float64{"small": 10, "large": 200, "larger": 400}
	is.Equal(maxMinShares(requested, 110), map[string]float64{"small": 10, "large": 50, "larger": 50})
	is.Equal(jainIndex(requested, map[string]float64{"small": 10, "large": 50, "larger": 50}), 1.0)
	is.True(jainIndex(requested, map[string]float64{"small": 0, "large": 10, "larger": 100}) < 0.6)
}

// A large account floods the engines with bulk work. Engines that get priorities start
// urgent requests first; otherwise these queue behind the bulk work.
func TestEnginesWithPrioritiesServeUrgentRequestsFirst(t *testing.T) {
	is := is.New(t)
	flood := shortScenario(1)
	flood.BulkAccount, flood.Crowd = bulkAccount, Crowd{From: 5 * time.Second, To: 25 * time.Second, ExtraRate: 1}
	for _, policies := range [][]Policy{priorityPolicies()[:2], priorityPolicies()[2:]} {
		without, with := Run(policies[0], flood, 50, 2), Run(policies[1], flood, 50, 2)
		is.True(with.UrgentP95 < without.UrgentP95)
		is.True(with.UrgentGoodput > 0.98*without.UrgentGoodput)
	}
}
