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
	// Fade is the time constant with which a load report loses its weight.
	Fade time.Duration
	// BlockTokens is the number of prompt tokens in one block of Ask.Prefix.
	BlockTokens int
	// PrefixMemory is how long a prefix is thought to stay where it was last heard of.
	PrefixMemory time.Duration
	// LinkPenalty is how much sooner an upstream of another region must be expected
	// to answer to be taken before one of this region.
	LinkPenalty time.Duration
	// LinkPerToken is the time that a prompt token takes on the link.
	LinkPerToken time.Duration
	// SlowStart is how long a new upstream is spared.
	SlowStart time.Duration
	// StallAfter is how long an upstream may owe first tokens without giving one.
	StallAfter time.Duration
	// FreshReport is how old a report's sample may be to count in Pressure.
	FreshReport time.Duration
	// MaxStalled is the largest share of a service's upstreams set aside for being
	// stalled. Without the cap a pause of this node itself would look like a stall of
	// every upstream, and all work would go to the last one left.
	MaxStalled float64
}

// DefaultSettings returns the settings that the experiment of design note 05 favours.
func DefaultSettings() Settings {
	return Settings{
		Costs:        score.DefaultCosts(),
		Choices:      2,
		Fade:         500 * time.Millisecond,
		BlockTokens:  64,
		PrefixMemory: 5 * time.Minute,
		LinkPenalty:  time.Second,
		LinkPerToken: time.Microsecond,
		SlowStart:    10 * time.Second,
		StallAfter:   3 * time.Second,
		FreshReport:  5 * time.Second,
		MaxStalled:   1.0 / 3,
	}
}
