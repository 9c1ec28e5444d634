package capacity

import (
	"time"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// recoverySlopes measures the release of a dead incarnation's shares with all budgets of the
// given size in the ledger. The release holds the ledger's lock throughout.
func recoverySlopes(size Size) []Slope {
	applier := newBatchApplier()
	applier.apply(marshalBatch(newBatch(0, 1, heartbeat(0, 1))))
	for i := range size.Budgets {
		applier.apply(marshalBatch(newBatch(1, uint64(i+1), topUp(i))))
	}
	best := time.Duration(0)
	for round := range rounds {
		dead := round + 2
		applier.apply(marshalBatch(newBatch(dead, 1, heartbeat(dead, 1))))
		for i := range size.HeldBudgets {
			applier.apply(marshalBatch(newBatch(dead, uint64(i+2), shareClaim(i*(size.Budgets/size.HeldBudgets)))))
		}
		closeEntry := &recordv1.Entry{Body: &recordv1.Entry_Close{Close: &recordv1.IncarnationClose{Incarnation: incarnationName(dead), LastHeartbeat: 1}}}
		doneEntry := &recordv1.Entry{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{Incarnation: incarnationName(dead)}}}
		applier.apply(marshalBatch(newBatch(0, uint64(2*round+2), closeEntry)))
		data := marshalBatch(newBatch(0, uint64(2*round+3), doneEntry))
		start := time.Now()
		applier.apply(data)
		if elapsed := time.Since(start); best == 0 || elapsed < best {
			best = elapsed
		}
		if _, held := applier.ledger.Incarnations()[incarnationName(dead)]; held {
			panic("the shares of the dead incarnation were not released")
		}
	}
	return []Slope{{"RecoveryDone", float64(best.Nanoseconds()), "ns", "all budgets of the size in the ledger, 1,500 shares released; the ledger is locked meanwhile"}}
}
