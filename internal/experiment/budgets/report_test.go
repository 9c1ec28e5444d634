package budgets

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Runs one load on the fleet's policies and the baselines, without a fault, with the
// regions partitioned and with a node crash. No budget may be overspent, and the fleet
// must refuse fewer requests falsely than either baseline during the partition.
func TestStrategiesNeverOverspend(t *testing.T) {
	is := is.New(t)
	rows := map[string]Row{}
	for _, r := range Compare(1, 45*time.Minute, 3) {
		is.Equal(r.Overspend, uint64(0))
		rows[string(r.Fault)+"/"+r.Strategy] = r
	}
	for _, policy := range []string{"endurance", "thrift"} {
		r := rows["normal/"+policy]
		is.True(r.FalseAmple*1000 < r.AmpleRequests)
	}
	fleetRefusals := rows["region cut/endurance"].FalseAmple
	is.True(fleetRefusals < rows["region cut/static equal split"].FalseAmple)
	is.True(fleetRefusals < rows["region cut/central counter"].FalseAmple)
}
