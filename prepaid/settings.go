package prepaid

import "time"

// Settings are the allocation policy.
type Settings struct {
	// Horizon is how many seconds of its demand a node's ceiling covers. The store was
	// seen out of reach for up to 12 s at a time; two seconds more cover the report and
	// the grant after it.
	Horizon time.Duration
	// DrawnAhead is how many seconds of demand a report's limits run ahead of use: until
	// they grow. All of it is stranded when the node dies.
	DrawnAhead time.Duration
	// PaceOver times its demand is what a node's limits grow by while it can't report.
	// Demand isn't steady, and a node that is cut off can't ask for more.
	PaceOver float64
	// IdleOver is the time over which the limits of a node without demand grow to its
	// ceiling: it must be able to lend to a busy one that is cut off with it. Growing with
	// demand alone, an idle node lent nothing before its ceilings bound it.
	IdleOver time.Duration
	// OpensAfter is how long after its last report a node is bound by its ceilings alone.
	// An incarnation whose successor starts sooner is counted by its limits, others by
	// their ceilings. The store was seen out of reach for up to 9 s, and instances that
	// lost power were seen back 2.4 s after their last report; mostSetBack comes on top.
	OpensAfter time.Duration
	// HoldersPerRegion is how many nodes of each region hold a part of an account. The
	// others borrow from them for each request. Spread over 86 nodes, the parts of small
	// accounts were too small for one long prompt, and refused it on most nodes.
	HoldersPerRegion int
	// SpreadLeast and SpreadSlope are the part of what is left of an account that nodes
	// hold at most: SpreadLeast when nothing is left, plus SpreadSlope times the part of
	// the prepaid total that is left. What nodes hold carries them through the store's
	// absence and is stranded when a whole fleet loses power; the rest serves the callers
	// then. Early in a day there is enough for both.
	SpreadLeast, SpreadSlope float64
	// PlentyShare is the part of that which nodes hold at least, however little they seem
	// to need. Early in a day little demand has been seen while most of an account is
	// left, and a cut of eight seconds used the parts up.
	PlentyShare float64
	// MinDrawn and MinCeiling, in tokens, let a node with little demand take a request
	// now and then: a usual prompt with its answer is about 12,000 tokens, a long one
	// 60,000. They count once for each account and node.
	MinDrawn, MinCeiling int64
	// RateWindow is the time constant of the demand estimate.
	RateWindow time.Duration
}

// DefaultSettings returns the policy described at each field.
func DefaultSettings() Settings {
	return Settings{
		Horizon:          12 * time.Second,
		DrawnAhead:       1500 * time.Millisecond,
		PaceOver:         1.25,
		IdleOver:         40 * time.Second,
		OpensAfter:       10 * time.Second,
		PlentyShare:      0.4,
		MinDrawn:         4_000,
		MinCeiling:       60_000,
		HoldersPerRegion: 6,
		SpreadLeast:      0.4,
		SpreadSlope:      0.35,
		RateWindow:       6 * time.Second,
	}
}
