package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// short is a scenario that takes a fraction of a second to play.
func short(load float64) Scenario {
	return Scenario{Name: "short", Load: load, Seed: 1, Warmup: 5 * time.Second, Length: 20 * time.Second}
}

// Figures that changed from run to run could not decide between two ways.
func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	for _, p := range Policies() {
		is.Equal(Run(p, short(1), 40, 1), Run(p, short(1), 40, 1))
	}
}

// Overload is an ordinary day: without admission every request is late, so that nothing
// is answered in time, although the engines are busy all the while.
func TestAdmissionKeepsGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	policies := Policies()
	ours, without := Run(policies[0], short(1), 90, 1), Run(policies[1], short(1), 90, 1)
	is.True(ours.Goodput > 45)
	is.True(without.Goodput < ours.Goodput/2)
	is.Equal(ours.Failed, 0.0)
}

func TestJainIndexUsesMaxMinShares(t *testing.T) {
	is := is.New(t)
	asked := map[string]float64{"small": 10, "large": 200, "larger": 400}
	is.Equal(maxMin(asked, 110), map[string]float64{"small": 10, "large": 50, "larger": 50})
	is.Equal(jain(asked, map[string]float64{"small": 10, "large": 50, "larger": 50}), 1.0)
	is.True(jain(asked, map[string]float64{"small": 0, "large": 10, "larger": 100}) < 0.6)
}

// A large account floods the engines with bulk work. Told of priorities, the engines
// begin urgent requests first; else those wait behind the bulk work.
func TestEnginesWithPrioritiesServeUrgentRequestsFirst(t *testing.T) {
	is := is.New(t)
	flood := short(1)
	flood.BulkAccount, flood.Crowd = bulkAccount, Crowd{From: 5 * time.Second, To: 25 * time.Second, ExtraRate: 1}
	for _, policies := range [][]Policy{priorityPolicies()[:2], priorityPolicies()[2:]} {
		untold, told := Run(policies[0], flood, 50, 2), Run(policies[1], flood, 50, 2)
		is.True(told.UrgentP95 < untold.UrgentP95)
		is.True(told.UrgentGoodput > 0.98*untold.UrgentGoodput)
	}
}
