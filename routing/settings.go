package routing

import (
	"time"

	"lavenderpin.dev/lavenderpin/routing/score"
)

// Settings of a Balancer.
type Settings struct {
	Costs score.Costs
	// Choices is how many random upstreams are compared, in addition to those with the
	// longest cached prefix.
	Choices int
	// ReportDecay is the time constant with which a load report loses its weight.
	ReportDecay time.Duration
	// BlockTokens is the number of prompt tokens in one block of Request.Prefix.
	BlockTokens int
	// PrefixTTL is how long a prefix is assumed to stay cached after it was last seen.
	PrefixTTL time.Duration
	// CrossRegionPenalty is how much sooner an upstream of another region must be expected
	// to answer to be preferred to one of this region.
	CrossRegionPenalty time.Duration
	// CrossRegionPerToken is the time to send one prompt token over the link.
	CrossRegionPerToken time.Duration
	// SlowStart is how long a new upstream gets fewer requests than the others.
	SlowStart time.Duration
	// StallTimeout is how long requests may await a first token without any progress before
	// the upstream counts as stalled.
	StallTimeout time.Duration
	// MaxReportAge is the oldest sample that counts in Pressure and allows spilling to
	// another region.
	MaxReportAge time.Duration
	// MaxStalledShare is the largest share of a service's upstreams that may be excluded as
	// stalled. Without the cap a pause of this node would look like a stall of every
	// upstream, and all requests would go to the last one left.
	MaxStalledShare float64
}

// DefaultSettings returns the settings that did best in the experiment of design note 05.
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
