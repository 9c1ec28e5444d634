package capacity

import (
	"runtime"
	"time"
)

// Slope is the marginal cost of one more item or operation.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// How describes what was measured.
	How string `json:"how"`
}

// heapInUse returns the heap bytes in use after garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapPerItem returns the heap bytes that the result of build retains, per item of n.
func heapPerItem(n int, build func() any) float64 {
	before := heapInUse()
	result := build()
	after := heapInUse()
	runtime.KeepAlive(result)
	return (after - before) / float64(n)
}

// nanosPerOperation returns the time of one of the n operations of fn, in nanoseconds. It
// takes the best of several rounds, because the machine is shared.
func nanosPerOperation(n int, fn func()) float64 {
	best := time.Duration(0)
	for range rounds {
		start := time.Now()
		fn()
		if elapsed := time.Since(start); best == 0 || elapsed < best {
			best = elapsed
		}
	}
	return float64(best.Nanoseconds()) / float64(n)
}

const rounds = 3
