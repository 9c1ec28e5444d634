package routing

import (
	"time"

	"lavenderpin.dev/lavenderpin/routing/score"
)

// Settings of a Balancer.
type Settings struct {
	Costs score.Costs
	// Choices is how many random upstreams are compared, beside the one that holds
	// most of the prompt.
	Choices int
	// ReportDecay is the time constant with which a load report loses its weight.
	ReportDecay time.Duration
	// BlockTokens is the number of prompt tokens in one block of Ask.Prefix.
	BlockTokens int
	// PrefixTTL is how long a prefix is thought to stay where it was last heard of.
	PrefixTTL time.Duration
	// CrossRegionPenalty is how much sooner an upstream of another region must be expected
	// to answer to be taken before one of this region.
	CrossRegionPenalty time.Duration
	// CrossRegionPerToken is the time that a prompt token takes on the link.
	CrossRegionPerToken time.Duration
	// SlowStart is how long a new upstream is spared.
	SlowStart time.Duration
	// StallTimeout is how long an upstream may owe first tokens without giving one.
	StallTimeout time.Duration
	// MaxReportAge is how old a report's sample may be to count in Pressure.
	MaxReportAge time.Duration
	// MaxStalledShare is the largest share of a service's upstreams set aside for being
	// stalled. Without the cap a pause of this node itself would look like a stall of
	// every upstream, and all work would go to the last one left.
	MaxStalledShare float64
}

// DefaultSettings returns the settings that the experiment of design note 05 favours.
func DefaultSettings() Settings {
	return Settings{
		Costs:               score.DefaultCosts(),
		Choices:             2,
		ReportDecay:         500 * time.Millisecond,
		BlockTokens:         64,
		PrefixTTL:           5 * time.Minute,
		CrossRegionPenalty:  time.Second,
		CrossRegionPerToken: time.Microsecond,
		SlowStart:           10 * time.Second,
		StallTimeout:        3 * time.Second,
		MaxReportAge:        5 * time.Second,
		MaxStalledShare:     1.0 / 3,
	}
}
