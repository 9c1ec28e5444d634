package drain

import (
	"slices"
	"sync"
	"time"
)

const (
	// durationWindow is how many of the last requests of a kind are considered.
	durationWindow = 32
	// usualQuantile is the fraction of them that took no longer than the usual duration.
	usualQuantile = 0.95
	// maxKinds bounds the memory for kinds that operators have since removed.
	maxKinds = 4096
)

// Durations tracks how long complete requests of each kind took. The zero value is ready to use.
// It is safe for concurrent use.
type Durations struct {
	mu    sync.Mutex
	kinds map[string]*recentDurations
}

// recentDurations is a ring of the last durations of one kind.
type recentDurations struct {
	values [durationWindow]time.Duration
	count  int
}

// Record adds a complete request.
func (d *Durations) Record(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent, found := d.kinds[kind]
	if !found {
		if d.kinds == nil || len(d.kinds) >= maxKinds {
			d.kinds = make(map[string]*recentDurations)
		}
		recent = &recentDurations{}
		d.kinds[kind] = recent
	}
	recent.values[recent.count%durationWindow] = took
	recent.count++
}

// Usual returns the duration that few of the recent requests of a kind exceeded; false if none
// is known.
func (d *Durations) Usual(kind string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent, found := d.kinds[kind]
	if !found {
		return 0, false
	}
	sorted := slices.Clone(recent.values[:min(recent.count, durationWindow)])
	slices.Sort(sorted)
	return sorted[int(usualQuantile*float64(len(sorted)-1)+0.5)], true
}
