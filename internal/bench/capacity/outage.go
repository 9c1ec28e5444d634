package capacity

import (
	"time"

	"github.com/jonboulle/clockwork"

	"lavenderpin.dev/lavenderpin/budget"
)

// outageSlopes measures the memory that a node holds for each request settled during an outage
// of the log.
func outageSlopes(size Size) []Slope {
	requests := int(size.RequestsPerSecond / float64(size.Nodes) * time.Hour.Seconds())
	clock := clockwork.NewRealClock()
	holder := budget.NewShareHolder(incarnationName(0), clock)
	holder.ExtendRight(clock.Now().Add(time.Hour))
	for i := range activeBudgets {
		holder.Credit(budgetName(i), 1<<40)
	}
	memory := heapPerItem(requests, func() any {
		for i := range requests {
			r, err := holder.Reserve(budgetName(i%activeBudgets), 500)
			if err != nil {
				panic(err)
			}
			r.Finish(221)
		}
		return holder
	})
	return []Slope{{"memory per settlement in an outage", memory, "B", "an hour of one node's requests finished and not taken by the writer"}}
}
