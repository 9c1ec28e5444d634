package budgets

import (
	"fmt"
	"io"
	"time"

	"lavenderpin.dev/lavenderpin/budget"
)

// Compare runs every strategy under every fault on the load generated from seed.
func Compare(seed uint64, duration time.Duration, rate float64) []Row {
	var rows []Row
	for _, fault := range []Fault{NoFault, RegionCut, NodeCrash} {
		scenario := Scenario{Seed: seed, Fault: fault, Duration: duration, Rate: rate}
		for _, strat := range []strategy{newShares(budget.Endurance), newShares(budget.Thrift), &staticSplit{}, &centralCounter{}} {
			rows = append(rows, newRun(scenario, strat).execute())
		}
	}
	return rows
}

// WriteMarkdown writes rows as a Markdown table.
func WriteMarkdown(w io.Writer, rows []Row) error {
	if _, err := fmt.Fprint(w, "| Fault | Strategy | Requests | Refused | False, ≥5% left | share | False, <5% left | False within reach | Overspend | Frozen peak | Frozen for | Appends/s | Bytes/s between regions | Added p50 | p99 |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %.3f%% | %d | %d | %d | %d | %s | %.1f | %.0f | %s | %s |\n",
			r.Fault, r.Strategy, r.Requests, r.Refused, r.FalseAmple, 100*float64(r.FalseAmple)/float64(max(1, r.AmpleRequests)),
			r.FalseScarce, r.FalseReachable, r.Overspend, r.FrozenPeak, r.FrozenFor, r.AppendsPerSecond, r.CrossRegionBytesPerSecond, r.P50, r.P99); err != nil {
			return err
		}
	}
	return nil
}
