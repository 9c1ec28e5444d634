package capacity

import "time"

// Size is a fleet to compute for.
type Size struct {
	Nodes, Engines    int
	RequestsPerSecond float64
	TokensPerSecond   float64
	Budgets, Accounts int
	Models            int
	Regions           int
	DataCentres       int
	ChangesPerDay     float64
	FailuresPerDay    float64
	RestartsPerDay    float64
	// HeldBudgets is how many budgets one node holds a share of at a time, and
	// SharesHeld how many nodes hold a share of a budget that is in use.
	HeldBudgets int
	// Heartbeat and Flush are the nodes' intervals.
	Heartbeat, Flush, Ping time.Duration
	// Allowance for control, for each node.
	CorePercent   float64
	MemoryMB      float64
	BytesASecond  float64
	LogAppendsMax float64
}

// TwoYearSize is the size that the users name for two years from now. Held budgets,
// and the share of a few hundred appends, are assumptions of ours.
func TwoYearSize() Size {
	return Size{
		Nodes: 380, Engines: 3_900, RequestsPerSecond: 8_600, TokensPerSecond: 1_900_000,
		Budgets: 220_000, Accounts: 43_000, Models: 38, Regions: 6, DataCentres: 16,
		ChangesPerDay: 3_300, FailuresPerDay: 52, RestartsPerDay: 250,
		HeldBudgets: 1_500,
		Heartbeat:   5 * time.Second, Flush: 200 * time.Millisecond, Ping: time.Second,
		CorePercent: 1.5, MemoryMB: 32, BytesASecond: 6_000, LogAppendsMax: 300,
	}
}
