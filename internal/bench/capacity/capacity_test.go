package capacity

import (
	"testing"

	"github.com/matryer/is"
)

// Every role is computed from slopes that exist, and no slope is empty: a page of
// zeros would promise a fleet that costs nothing.
func TestMeasureGivesEverySlope(t *testing.T) {
	is := is.New(t)
	size := TwoYearSize()
	size.Accounts, size.Budgets, size.Engines = 500, 2_000, 100
	m := Measure(size, Samples{Budgets: 500, Shares: 200, Settlements: 500, Incarnations: 20, Events: 500, Reserves: 500, HeldBudgets: 200, Lookups: 100})
	for _, s := range m.Slopes {
		t.Logf("%s: %.1f %s", s.Name, s.Value, s.Unit)
		is.True(s.Value > 0)
	}
	is.True(len(m.Roles) > 0)
	is.True(len(m.Limits) > 0)
}
