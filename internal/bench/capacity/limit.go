package capacity

import (
	"time"

	"lavenderpin.dev/lavenderpin/gather"
)

// Limit is the size at which one mechanism alone uses up a node's allowance, as the
// code stands.
type Limit struct {
	Mechanism string  `json:"mechanism"`
	Allowance string  `json:"allowance"`
	At        float64 `json:"at"`
	Unit      string  `json:"unit"`
	// Wanted is the same quantity at the size computed for.
	Wanted float64 `json:"wanted"`
}

func limits(size Size, s func(string) float64) []Limit {
	bytes, memory := size.BytesASecond, size.MemoryMB*megabyte
	flush := 1 / size.Flush.Seconds()
	return []Limit{
		{"every node folds every settlement, unpacked", "6 KB/s", bytes / s("log bytes per settlement"), "requests/s", size.RequestsPerSecond},
		{"every node folds every settlement, gathered and packed", "6 KB/s", bytes / s("log bytes per settlement, gathered"), "requests/s", size.RequestsPerSecond},
		{"one append a node a flush (without gathering)", "300 appends/s", size.LogAppendsMax / flush, "nodes", float64(size.Nodes)},
		{"one append a data centre each 100 ms", "300 appends/s", size.LogAppendsMax * gather.DefaultPolicy().AppendInterval.Seconds(), "data centres", float64(size.DataCentres)},
		{"three nodes a data centre that append for themselves", "300 appends/s", size.LogAppendsMax / flush / float64(gather.DefaultPolicy().MinDataCentreNodes-1), "data centres", float64(size.DataCentres)},
		{"every node folds every share", "32 MB", memory / s("ledger memory per share"), "shares", float64(size.Nodes * size.HeldBudgets)},
		{"every node holds every budget, ledger and configuration", "32 MB",
			memory / (s("ledger memory per budget") + s("config memory per budget")), "budgets", float64(size.Budgets)},
		{"a witness told of each request by itself", "6 KB/s",
			bytes / (2 * (s("witness exchange, bytes per request") + 2*s("witness exchange, messages per request")*quicOverhead)), "requests/s a node", size.RequestsPerSecond / float64(size.Nodes)},
		{"the log out for an hour, settlements in memory", "32 MB",
			memory / time.Hour.Seconds() / (s("memory per settlement in an outage") + s("witness memory per request")), "requests/s a node", size.RequestsPerSecond / float64(size.Nodes)},
		{"every node folds every settlement, gathered and packed", "1.5% of a core", size.CorePercent / percent * nanosASec / foldPacked(s), "requests/s", size.RequestsPerSecond},
		{"every node applies every change", "1.5% of a core", size.CorePercent / percent * nanosASec / s("one change at full size") * daySeconds, "changes/day", size.ChangesPerDay},
	}
}
