package edgenode

import "lavenderpin.dev/lavenderpin/catalog"

// fleet is what planning shares asks of the node.
type fleet Node

// Mine tells whether this node is the first active one by name.
func (f *fleet) Mine() bool {
	active := f.roster.Active()
	return len(active) > 0 && active[0].Node == f.settings.Node && active[0].Incarnation == f.settings.Incarnation
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
