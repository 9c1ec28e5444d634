package admission

import "lavenderpin.dev/lavenderpin/routing"

const (
	// overflowMaxUtilization is the utilization of another region's slots up to which requests
	// of this region may be sent there: its own callers have precedence.
	overflowMaxUtilization = 0.8
	// Fractions of the free or exceeded capacity by which one change moves the limit.
	overflowIncrease = 0.125
	overflowDecrease = 0.25
	// overflowDecay shrinks the limit while it isn't used or the other regions report no load.
	overflowDecay = 0.8
)

// overflow limits how many requests may be at the upstreams of other regions when this one is
// full. Without it requests would be refused while another region idles.
type overflow struct {
	limit float64
}

func (o *overflow) observe(remote routing.Pressure, inUse bool) {
	free := overflowMaxUtilization*remote.Slots - remote.Running - remote.Waiting
	switch {
	case remote.Slots <= 0 || !inUse:
		o.limit *= overflowDecay
	case free > 0:
		o.limit += overflowIncrease * free
	default:
		o.limit = max(0, o.limit+overflowDecrease*free)
	}
	o.limit = min(o.limit, overflowMaxUtilization*remote.Slots)
}
