package edgenode

import (
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/presence"
)

// fleet is what planning shares asks of the node.
type fleet Node

// IsPlanner tells whether this node is the senior one of those that are active.
//
// What the node is counts by its own word, not by its record in the store. After a fault
// that all nodes come back from at once the roster holds their earlier incarnations; a node
// that waited to read its own record back planned nothing for a second, and all prompts were
// refused meanwhile.
func (f *fleet) IsPlanner() bool {
	if f.leaving.Load() || !f.roster.HasRead() {
		return false
	}
	own := (*Node)(f).record()
	for _, r := range f.roster.Active() {
		if r.Node != own.Node && presence.Precedes(&r, &own) {
			return false
		}
	}
	return true
}

// IsLive tells whether an incarnation was heard of lately.
func (f *fleet) IsLive(node, incarnation string) bool { return f.roster.IsLive(node, incarnation) }

// Prepaid returns every limited account's total.
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
