package capacity

// Samples holds the number of items of each kind to measure.
type Samples struct {
	Budgets, Shares, Settlements, Incarnations int
	Events, Reserves, HeldBudgets, Lookups     int
}

// FullSamples returns the sample counts behind docs/CAPACITY.md.
func FullSamples() Samples {
	return Samples{Budgets: 50_000, Shares: 20_000, Settlements: 50_000, Incarnations: 400,
		Events: 20_000, Reserves: 100_000, HeldBudgets: 10_000, Lookups: 100_000}
}
