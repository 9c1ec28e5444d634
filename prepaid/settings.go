package prepaid

import "time"

// Settings configure the allocation policy.
type Settings struct {
	// DemandHorizon is how many seconds of its demand a node's ceiling covers. The store was
	// seen unreachable for up to 12 s at a time; two seconds more cover the report and the
	// grant after it.
	DemandHorizon time.Duration
	// LimitHeadroom is how many seconds of demand a report's limits are ahead of use until they
	// grow. All of it is stranded when the node dies.
	LimitHeadroom time.Duration
	// GrowthFactor times its demand is the growth of a node's limits while it can't report.
	// Demand isn't steady, and a partitioned node can't ask for more.
	GrowthFactor float64
	// An account is near its end with no more than NearEndFraction of its prepaid total left. Then
	// MaxHeadroomFraction is the largest fraction of what a node holds unused that its limits are
	// ahead of use until they grow, unless that is less than MinHeadroom, and MinExhaustionTime the
	// shortest time in which growing limits reach all of it. Without these two bounds, a power loss of
	// all nodes strands seconds of demand however little is left: everything, in the end. A node that
	// can't report then serves a part of its demand; what it doesn't serve is left for later.
	NearEndFraction     float64
	MaxHeadroomFraction float64
	MinExhaustionTime   time.Duration
	// IdleGrowthTime is the time over which the limits of a node without demand grow to its
	// ceiling, or by MinCeiling if it holds more: it must be able to lend to a busy node that is
	// partitioned with it. With growth by demand alone, an idle node lent nothing until its
	// limits expired.
	IdleGrowthTime time.Duration
	// LimitTTL is how long after its last report a node's limits apply; then only its ceilings
	// do. An incarnation whose successor starts sooner is counted by its limits, others by
	// their ceilings. The store was seen unreachable for up to 12 s, and instances that lost
	// power right after were seen back within 3 s; maxClockSetBack is added to that.
	LimitTTL time.Duration
	// SmallRequestHorizon is for how many seconds an account's tokens must cover the demand of much
	// smaller requests before a request is admitted: a fleet that lost power must answer some requests
	// of each account 15 s after it is back.
	SmallRequestHorizon time.Duration
	// MaxKeptFraction is the largest fraction of the prepaid total that is kept for them.
	MaxKeptFraction float64
	// HoldersPerRegion is how many nodes of each region hold an allocation of an account. The
	// others borrow from them for each request. Spread over 86 nodes, the allocations of small
	// accounts were too small for one long prompt, and most nodes refused it.
	HoldersPerRegion int
	// MinDistributedFraction and DistributedSlope set the fraction of an account's remaining
	// tokens that nodes hold at most: MinDistributedFraction when little is left, plus
	// DistributedSlope times the remaining fraction of the prepaid total. What nodes hold carries
	// them through an outage of the store. The rest goes to nodes whose demand grows, and serves
	// callers if nodes are lost with what they hold.
	MinDistributedFraction, DistributedSlope float64
	// MinNeededFraction is the fraction of that limit that nodes hold at least, also beyond
	// DemandHorizon: demand may grow while the store is away, and a node that dies strands only
	// what its limits allowed.
	MinNeededFraction float64
	// MinHeadroom and MinCeiling, in tokens, let a node with little demand accept an occasional
	// request: a usual prompt with its answer is about 12,000 tokens, a long one 60,000. They
	// count once for each account and node.
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
		NearEndFraction:        1.0 / 3,
		MaxHeadroomFraction:    1.0 / 12,
		MinExhaustionTime:      20 * time.Second,
		IdleGrowthTime:         40 * time.Second,
		LimitTTL:               20 * time.Second,
		MinNeededFraction:      0.9,
		MinHeadroom:            4_000,
		MinCeiling:             60_000,
		SmallRequestHorizon:    15 * time.Second,
		MaxKeptFraction:        1.0 / 8,
		HoldersPerRegion:       6,
		MinDistributedFraction: 0.75,
		DistributedSlope:       0.15,
		RateWindow:             6 * time.Second,
	}
}
