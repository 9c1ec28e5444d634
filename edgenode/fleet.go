package edgenode

import (
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/presence"
)

// fleet implements the planner's view of the fleet.
type fleet Node

// IsPlanner reports whether this node ranks first among the active nodes.
//
// The node ranks itself by its current state, not by its record in the store. When all nodes
// recover from a fault at once, the roster still holds their earlier incarnations; a node that
// waited to read its own record back planned nothing for a second, and all prompts were refused
// meanwhile.
func (f *fleet) IsPlanner() bool {
	if f.leaving.Load() || !f.roster.HasRead() {
		return false
	}
	own := (*Node)(f).presenceRecord()
	for _, r := range f.roster.Active() {
		if r.Node != own.Node && presence.Precedes(&r, &own) {
			return false
		}
	}
	return true
}

// IsLive reports whether an incarnation was seen recently.
func (f *fleet) IsLive(node, incarnation string) bool { return f.roster.IsLive(node, incarnation) }

// Prepaid returns the prepaid total of each limited account.
func (f *fleet) Prepaid() (map[string]int64, bool) {
	view := f.catalog.Current()
	if view == nil {
		return nil, false
	}
	totals := make(map[string]int64)
	view.Accounts(func(a *catalog.Account) {
		if a.HasPrepaid {
			totals[a.Name] = a.Prepaid
		}
	})
	return totals, true
}
