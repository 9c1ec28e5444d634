package prepaid

import "time"

// Settings are the allocation policy.
type Settings struct {
	// Horizon is how many seconds of its demand a node's ceiling covers. The store was
	// seen out of reach for up to 12 s at a time; two seconds more cover the report and
	// the grant after it.
	Horizon time.Duration
	// DrawnAhead is how many seconds of demand the drawn limit runs ahead of use. It
	// must outlast ReserveAfter plus one report interval, or a cut node refuses
	// requests before it may open its reserve.
	DrawnAhead time.Duration
	// ReserveAfter is how long after its last acknowledged report a node may open its
	// reserve. A process that is killed and started again within that time gives its
	// reserve back; platforms restart a killed process within about two seconds.
	ReserveAfter time.Duration
	// ExtendWithin is how old the last acknowledged report may be for a new report to
	// put off the opening of the reserve: two report intervals.
	ExtendWithin time.Duration
	// MinDrawn and MinCeiling, in tokens, let a node with little demand take a large
	// request: a long prompt with its answer is about 60,000 tokens.
	MinDrawn, MinCeiling int64
	// RateWindow is the time constant of the demand estimate.
	RateWindow time.Duration
}

// DefaultSettings returns the policy described at each field.
func DefaultSettings() Settings {
	return Settings{
		Horizon:      14 * time.Second,
		DrawnAhead:   6 * time.Second,
		ReserveAfter: 3 * time.Second,
		ExtendWithin: 2 * time.Second,
		MinDrawn:     50_000,
		MinCeiling:   70_000,
		RateWindow:   4 * time.Second,
	}
}
