package capacity

import (
	"time"

	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
)

// recoverySlopes measures the release of a dead incarnation's shares, with all budgets
// of the size in the ledger. It holds the ledger's lock all the while.
func recoverySlopes(size Size) []Slope {
	f := newFolder()
	f.fold(encoded(batchOf(0, 1, heartbeat(0, 1))))
	for i := range size.Budgets {
		f.fold(encoded(batchOf(1, uint64(i+1), topUp(i))))
	}
	best := time.Duration(0)
	for round := range rounds {
		dead := round + 2
		f.fold(encoded(batchOf(dead, 1, heartbeat(dead, 1))))
		for i := range size.HeldBudgets {
			f.fold(encoded(batchOf(dead, uint64(i+2), claim(i*(size.Budgets/size.HeldBudgets)))))
		}
		end := &recordv1.Entry{Body: &recordv1.Entry_Close{Close: &recordv1.IncarnationClose{Incarnation: incarnationName(dead), LastHeartbeat: 1}}}
		done := &recordv1.Entry{Body: &recordv1.Entry_RecoveryDone{RecoveryDone: &recordv1.RecoveryDone{Incarnation: incarnationName(dead)}}}
		f.fold(encoded(batchOf(0, uint64(2*round+2), end)))
		data := encoded(batchOf(0, uint64(2*round+3), done))
		began := time.Now()
		f.fold(data)
		if took := time.Since(began); best == 0 || took < best {
			best = took
		}
		if _, held := f.ledger.Incarnations()[incarnationName(dead)]; held {
			panic("the shares were not released")
		}
	}
	return []Slope{{"RecoveryDone", float64(best.Nanoseconds()), "ns", "all budgets of the size in the ledger, 1,500 shares released; the ledger is locked meanwhile"}}
}
