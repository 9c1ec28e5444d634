package capacity

// Samples is how many of each thing are measured.
type Samples struct {
	Budgets, Shares, Settlements, Incarnations int
	Events, Reserves, HeldBudgets, Lookups     int
}

// FullSamples returns what docs/CAPACITY.md is measured with.
func FullSamples() Samples {
	return Samples{Budgets: 50_000, Shares: 20_000, Settlements: 50_000, Incarnations: 400,
		Events: 20_000, Reserves: 100_000, HeldBudgets: 10_000, Lookups: 100_000}
}
