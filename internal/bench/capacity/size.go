package capacity

import "time"

// Size is the fleet size and load that the roles are computed for.
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
	// HeldBudgets is the number of budgets that one node holds a share of at a time.
	HeldBudgets int
	// Heartbeat, Flush and Ping are the nodes' intervals.
	Heartbeat, Flush, Ping time.Duration
	// The allowance of each node for control work; LogAppendsMax, in appends a second, is that
	// of the whole fleet.
	CorePercent   float64
	MemoryMB      float64
	BytesASecond  float64
	LogAppendsMax float64
}

// TwoYearSize returns the size that users expect in two years. HeldBudgets and LogAppendsMax,
// the share of a few hundred appends, are assumptions of this package.
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
