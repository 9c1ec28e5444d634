package admission

import "lavenderpin.dev/lavenderpin/routing"

const (
	// overflowTarget is the part of another region's slots that may be in use for
	// requests of this region to be sent there: its own callers go first.
	overflowTarget = 0.8
	// The parts of what is free, or too much, by which one change moves the overflow.
	overflowIncrease = 0.125
	overflowDecrease = 0.25
	// overflowFade shrinks an overflow that isn't used, or whose region isn't heard of.
	overflowFade = 0.8
)

// overflow is how many requests may be at the upstreams of other regions because this
// one has no room. Without it requests would be refused while a region idles.
type overflow struct {
	limit float64
}

func (o *overflow) observe(elsewhere routing.Pressure, inUse bool) {
	free := overflowTarget*elsewhere.Slots - elsewhere.Running - elsewhere.Waiting
	switch {
	case elsewhere.Slots <= 0 || !inUse:
		o.limit *= overflowFade
	case free > 0:
		o.limit += overflowIncrease * free
	default:
		o.limit = max(0, o.limit+overflowDecrease*free)
	}
	o.limit = min(o.limit, overflowTarget*elsewhere.Slots)
}
