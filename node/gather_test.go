package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/gather"
)

// Six nodes hand their batches to the gatherers of their data centres, and one of these
// crashes under load. What it held for others must be billed all the same, once, and
// nobody may be refused for more than the moment in which the others notice.
func TestTheGathererOfADataCentreCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		policy := gather.DefaultPolicy()
		policy.Fleet, policy.From = 0, 2
		f := startGathering(t, policy, testPolicy, near, near, near, near, near, near)
		f.topUp(400_000)
		f.drawFor(5*time.Minute, 0, 1, 2, 3, 4, 5)
		chosen := gather.Choose(f.nodes[0].info, f.nodes[0].members.All(), policy).GetIncarnation()
		var others []int
		gatherer := -1
		for i, n := range f.nodes {
			is.True(n.appender.HandedOn() > 0)
			if n.Incarnation() == chosen {
				gatherer = i
			} else {
				others = append(others, i)
			}
		}
		is.True(f.nodes[gatherer].gatherer.Appends() > 0)
		f.crash(gatherer)
		refused := f.drawFor(5*time.Minute, others...)
		is.Equal(len(refused), 0)
		f.nodes[gatherer] = f.start(gatherer, near)
		f.drawFor(5*time.Minute, others...)
		f.awaitBilled(others[0])
		is.Equal(f.checkLedger(others[0]).Lost, uint64(0))
	})
}
