package budgets

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The same load is played on the fleet's policies and the baselines, with the
// regions cut and with a crash. No account may end above its budget, and
// the fleet must refuse less than either baseline while the cut lasts.
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
	ours := rows["region cut/endurance"].FalseAmple
	is.True(ours < rows["region cut/static equal split"].FalseAmple)
	is.True(ours < rows["region cut/central counter"].FalseAmple)
}
