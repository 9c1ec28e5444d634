package capacity

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
		{"every node folds every settlement", "6 KB/s", bytes / s("log bytes per settlement"), "requests/s", size.RequestsPerSecond},
		{"one append a node a flush", "300 appends/s", size.LogAppendsMax / flush, "nodes", float64(size.Nodes)},
		{"every node folds every share", "32 MB", memory / s("ledger memory per share"), "shares", float64(size.Nodes * size.HeldBudgets)},
		{"every node holds every budget, ledger and configuration", "32 MB",
			memory / (s("ledger memory per budget") + s("config memory per budget")), "budgets", float64(size.Budgets)},
		{"a witness told of each request by itself", "6 KB/s", bytes / (2 * s("witness of one request")), "requests/s a node", size.RequestsPerSecond / float64(size.Nodes)},
		{"every node folds every settlement", "1.5% of a core", size.CorePercent / percent * nanosASec / s("fold per settlement"), "requests/s", size.RequestsPerSecond},
		{"every node applies every change", "1.5% of a core", size.CorePercent / percent * nanosASec / s("one change at full size") * daySeconds, "changes/day", size.ChangesPerDay},
	}
}
