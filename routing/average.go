package routing

import (
	"math"
	"sync/atomic"
)

// average is an exponentially weighted mean. A lost update between two racing
// writers does no harm.
type average struct {
	bits atomic.Uint64
}

func (a *average) load() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *average) store(value float64) { a.bits.Store(math.Float64bits(value)) }

func (a *average) observe(value, weight float64) {
	mean := a.load()
	a.store(mean + weight*(value-mean))
}
