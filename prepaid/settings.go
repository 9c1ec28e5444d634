package prepaid

import "time"

// Settings are the allocation policy.
type Settings struct {
	// DemandHorizon is how many seconds of its demand a node's ceiling covers. The store was
	// seen out of reach for up to 12 s at a time; two seconds more cover the report and
	// the grant after it.
	DemandHorizon time.Duration
	// LimitHeadroom is how many seconds of demand a report's limits run ahead of use: until
	// they grow. All of it is stranded when the node dies.
	LimitHeadroom time.Duration
	// GrowthFactor times its demand is what a node's limits grow by while it can't report.
	// Demand isn't steady, and a node that is cut off can't ask for more.
	GrowthFactor float64
	// IdleGrowthTime is the time over which the limits of a node without demand grow to its
	// ceiling: it must be able to lend to a busy one that is cut off with it. Growing with
	// demand alone, an idle node lent nothing before its ceilings bound it.
	IdleGrowthTime time.Duration
	// LimitTTL is how long after its last report a node is bound by its ceilings alone.
	// An incarnation whose successor starts sooner is counted by its limits, others by
	// their ceilings. The store was seen out of reach for up to 9 s, and instances that
	// lost power were seen back 2.4 s after their last report; mostSetBack comes on top.
	LimitTTL time.Duration
	// HoldersPerRegion is how many nodes of each region hold a part of an account. The
	// others borrow from them for each request. Spread over 86 nodes, the parts of small
	// accounts were too small for one long prompt, and refused it on most nodes.
	HoldersPerRegion int
	// MinDistributedFraction and DistributedSlope are the part of what is left of an account that nodes
	// hold at most: MinDistributedFraction when nothing is left, plus DistributedSlope times the part of
	// the prepaid total that is left. What nodes hold carries them through the store's
	// absence and is stranded when a whole fleet loses power; the rest serves the callers
	// then. Early in a day there is enough for both.
	MinDistributedFraction, DistributedSlope float64
	// MinNeededFraction is the part of that which nodes hold at least, however little they seem
	// to need. Early in a day little demand has been seen while most of an account is
	// left, and a cut of eight seconds used the parts up.
	MinNeededFraction float64
	// MinHeadroom and MinCeiling, in tokens, let a node with little demand take a request
	// now and then: a usual prompt with its answer is about 12,000 tokens, a long one
	// 60,000. They count once for each account and node.
	MinHeadroom, MinCeiling int64
	// RateWindow is the time constant of the demand estimate.
	RateWindow time.Duration
}

// DefaultSettings returns the policy described at each field.
func DefaultSettings() Settings {
	return Settings{
		DemandHorizon:          12 * time.Second,
		LimitHeadroom:          1500 * time.Millisecond,
		GrowthFactor:           1.25,
		IdleGrowthTime:         40 * time.Second,
		LimitTTL:               10 * time.Second,
		MinNeededFraction:      0.4,
		MinHeadroom:            4_000,
		MinCeiling:             60_000,
		HoldersPerRegion:       6,
		MinDistributedFraction: 0.4,
		DistributedSlope:       0.35,
		RateWindow:             6 * time.Second,
	}
}
