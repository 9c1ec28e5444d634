package capacity

import (
	"fmt"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

const resourcesAChange = 500

// configSlopes measures the configuration at full size: it is held by every node.
func configSlopes(n Samples, size Size) []Slope {
	f := newFolder()
	seq := uint64(0)
	add := func(count int, make func(int) *operatorv1.Resource) {
		for first := 0; first < count; first += resourcesAChange {
			var resources []*operatorv1.Resource
			for i := first; i < min(count, first+resourcesAChange); i++ {
				resources = append(resources, make(i))
			}
			seq++
			f.fold(encoded(batchOf(0, seq, change(fmt.Sprintf("setup-%d", seq), resources...))))
		}
	}
	account := grown(size.Accounts, func() any { add(size.Accounts, account); return f })
	budget := grown(size.Budgets, func() any { add(size.Budgets, budgetOf); return f })
	upstream := grown(size.Engines, func() any {
		add(size.Models, serviceOf)
		add(size.Engines, upstreamOf)
		return f
	})
	const changes = 20
	one := each(changes, func() {
		for i := range changes {
			seq++
			f.fold(encoded(batchOf(0, seq, change(fmt.Sprintf("later-%d", seq), upstreamOf(i)))))
		}
	})
	data, err := f.config.Snapshot()
	if err != nil {
		panic(err)
	}
	resources := size.Accounts + size.Budgets + size.Engines + size.Models
	lookup := each(n.Lookups, func() {
		view := f.config.View()
		for i := range n.Lookups {
			if view.AccountByKey(accountName(i%size.Accounts)) == nil {
				panic("no account")
			}
		}
	})
	return []Slope{
		{"config memory per account", account, "B", fmt.Sprintf("%d accounts with one key", size.Accounts)},
		{"config memory per budget", budget, "B", fmt.Sprintf("%d budgets with one service", size.Budgets)},
		{"config memory per upstream", upstream, "B", fmt.Sprintf("%d upstreams of %d services", size.Engines, size.Models)},
		{"one change at full size", one, "ns", fmt.Sprintf("one upstream changed among %d resources, decode to new view", resources)},
		{"log bytes per change", changeBytes(), "B", "one upstream changed, alone in its batch"},
		{"config snapshot bytes per resource", float64(len(data)) / float64(resources), "B", "configuration part at full size, before compression"},
		{"account by key", lookup, "ns", "hash of the key and look-up, at full size"},
	}
}
