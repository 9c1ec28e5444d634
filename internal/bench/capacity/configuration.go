package capacity

import (
	"fmt"

	operatorv1 "lavenderpin.dev/lavenderpin/api/operator/v1"
)

const resourcesPerChange = 500

// configSlopes measures the configuration at full size, because every node holds all of it.
func configSlopes(n Samples, size Size) []Slope {
	applier := newBatchApplier()
	seq := uint64(0)
	add := func(count int, newResource func(int) *operatorv1.Resource) {
		for first := 0; first < count; first += resourcesPerChange {
			var resources []*operatorv1.Resource
			for i := first; i < min(count, first+resourcesPerChange); i++ {
				resources = append(resources, newResource(i))
			}
			seq++
			applier.apply(marshalBatch(newBatch(0, seq, configChange(fmt.Sprintf("setup-%d", seq), resources...))))
		}
	}
	accountBytes := heapPerItem(size.Accounts, func() any { add(size.Accounts, accountResource); return applier })
	budgetBytes := heapPerItem(size.Budgets, func() any { add(size.Budgets, budgetResource); return applier })
	upstreamBytes := heapPerItem(size.Engines, func() any {
		add(size.Models, serviceResource)
		add(size.Engines, upstreamResource)
		return applier
	})
	const changes = 20
	changeNanos := nanosPerOperation(changes, func() {
		for i := range changes {
			seq++
			applier.apply(marshalBatch(newBatch(0, seq, configChange(fmt.Sprintf("later-%d", seq), upstreamResource(i)))))
		}
	})
	data, err := applier.config.Snapshot()
	if err != nil {
		panic(err)
	}
	resources := size.Accounts + size.Budgets + size.Engines + size.Models
	lookupNanos := nanosPerOperation(n.Lookups, func() {
		view := applier.config.View()
		for i := range n.Lookups {
			if view.AccountByKey(accountName(i%size.Accounts)) == nil {
				panic("account not found by key")
			}
		}
	})
	return []Slope{
		{"config memory per account", accountBytes, "B", fmt.Sprintf("%d accounts with one key", size.Accounts)},
		{"config memory per budget", budgetBytes, "B", fmt.Sprintf("%d budgets with one service", size.Budgets)},
		{"config memory per upstream", upstreamBytes, "B", fmt.Sprintf("%d upstreams of %d services", size.Engines, size.Models)},
		{"one change at full size", changeNanos, "ns", fmt.Sprintf("one upstream changed among %d resources, decode to new view", resources)},
		{"log bytes per change", configChangeBytes(), "B", "one upstream changed, alone in its batch"},
		{"config snapshot bytes per resource", float64(len(data)) / float64(resources), "B", "configuration part at full size, before compression"},
		{"account by key", lookupNanos, "ns", "hash of the key and look-up, at full size"},
	}
}
