package capacity

import (
	"runtime"
	"time"
)

// Slope is what one more of something costs.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// How says what was measured.
	How string `json:"how"`
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// grown returns the heap that build leaves behind for each of n things.
func grown(n int, build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return (after - before) / float64(n)
}

// each returns the time of one of n calls, in nanoseconds: the best of several
// rounds, as the machine is shared.
func each(n int, do func()) float64 {
	best := time.Duration(0)
	for range rounds {
		began := time.Now()
		do()
		if took := time.Since(began); best == 0 || took < best {
			best = took
		}
	}
	return float64(best.Nanoseconds()) / float64(n)
}

const rounds = 3
