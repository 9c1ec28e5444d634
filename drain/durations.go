package drain

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// durationWindow is how many of the last requests of a kind are considered.
	durationWindow = 32
	// minDurations is how many of them are needed for an estimate: a few slow requests of a node
	// that has just started say little.
	minDurations = 8
	// usualQuantile is the fraction of them that took no longer than the usual duration.
	usualQuantile = 0.95
	// maxKinds bounds the memory for kinds that operators have since removed.
	maxKinds = 4096
)

// Durations tracks how long successful requests of each kind took. The zero value is ready to
// use. It is safe for concurrent use.
type Durations struct {
	kinds sync.Map // kind -> *recentDurations
	count atomic.Int64
}

// recentDurations is a ring of the last durations of one kind.
type recentDurations struct {
	count  atomic.Int64
	values [durationWindow]atomic.Int64
}

// Record adds a successful request.
func (d *Durations) Record(kind string, took time.Duration) {
	recent, found := d.kinds.Load(kind)
	if !found {
		recent = d.add(kind)
	}
	r := recent.(*recentDurations)
	r.values[(r.count.Add(1)-1)%durationWindow].Store(int64(took))
}

func (d *Durations) add(kind string) any {
	if d.count.Load() >= maxKinds {
		d.kinds.Clear()
		d.count.Store(0)
	}
	recent, loaded := d.kinds.LoadOrStore(kind, &recentDurations{})
	if !loaded {
		d.count.Add(1)
	}
	return recent
}

// Usual returns the duration that few of the recent requests of a kind exceeded, or zero if too
// few are known.
func (d *Durations) Usual(kind string) time.Duration {
	recent, found := d.kinds.Load(kind)
	if !found {
		return 0
	}
	r := recent.(*recentDurations)
	n := min(r.count.Load(), durationWindow)
	if n < minDurations {
		return 0
	}
	sorted := make([]time.Duration, n)
	for i := range sorted {
		sorted[i] = time.Duration(r.values[i].Load())
	}
	slices.Sort(sorted)
	return sorted[int(math.Ceil(usualQuantile*float64(n)))-1]
}
