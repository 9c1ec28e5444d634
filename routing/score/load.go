package score

import (
	"math"
	"time"
)

// Load is a node's knowledge of an upstream's load. Own is exact and current; Reported is
// from the latest report.
type Load struct {
	Own float64
	// OwnAtSample is Own at the time of the report's sample.
	OwnAtSample float64
	Reported    float64
	// MeanOtherNodes is the mean of OtherNodes over the region's upstreams.
	MeanOtherNodes float64
}

// ReportWeight returns the weight of a report whose sample has that age: it decays
// exponentially from 1 to 0.
func ReportWeight(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

// Estimate returns the own load plus that of other nodes. As the report's weight falls, its
// load of other nodes is replaced by the mean: an old report of an idle engine would attract
// every node, visible as bursts of waiting requests on one engine after another.
func (l Load) Estimate(weight float64) float64 {
	return l.Own + weight*l.OtherNodes() + (1-weight)*l.MeanOtherNodes
}

// OtherNodes returns the part of the reported load that came from other nodes.
func (l Load) OtherNodes() float64 { return max(0, l.Reported-l.OwnAtSample) }
