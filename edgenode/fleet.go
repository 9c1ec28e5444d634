package edgenode

import (
	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/presence"
)

// fleet is what planning shares asks of the node.
type fleet Node

// Mine tells whether this node is the senior one of those that are active.
func (f *fleet) Mine() bool {
	senior, ok := presence.Senior(f.roster.Active())
	return ok && senior.Node == f.settings.Node && senior.Incarnation == f.settings.Incarnation
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
