package score

import (
	"math"
	"time"
)

// Load is what a node knows of an upstream's load. Own counts are exact and of now;
// reported ones are those of the latest report.
type Load struct {
	Own float64
	// OwnAtSample is the node's own count at the time of the report's sample.
	OwnAtSample float64
	Reported    float64
	// MeanOtherNodes of the foreign load over the region's upstreams.
	MeanOtherNodes float64
}

// ReportWeight returns how much a report's sample of that age is worth, from 1 to 0, with the
// time constant fade.
func ReportWeight(age, fade time.Duration) float64 { return math.Exp(-float64(age) / float64(fade)) }

// Estimate returns own load plus that of other nodes. What a report says of other
// nodes gives way to the mean as it is trusted less: an old report of an idle engine
// would draw every node to it, seen as bursts of waiting requests on one engine after
// another.
func (l Load) Estimate(trust float64) float64 {
	return l.Own + trust*l.OtherNodes() + (1-trust)*l.MeanOtherNodes
}

// OtherNodes returns the part of the reported load that wasn't this node's own.
func (l Load) OtherNodes() float64 { return max(0, l.Reported-l.OwnAtSample) }
