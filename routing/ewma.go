package routing

import (
	"math"
	"sync/atomic"
)

// ewma is an exponentially weighted moving average. An update lost in a race between two
// writers is harmless.
type ewma struct {
	bits atomic.Uint64
}

func (e *ewma) load() float64 { return math.Float64frombits(e.bits.Load()) }

func (e *ewma) store(value float64) { e.bits.Store(math.Float64bits(value)) }

func (e *ewma) observe(value, weight float64) {
	mean := e.load()
	e.store(mean + weight*(value-mean))
}
