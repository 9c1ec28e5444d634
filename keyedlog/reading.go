package keyedlog

import "time"

// Reading is how a successful reading went.
type Reading struct {
	// Took is how long it took, the waiting for a record included.
	Took time.Duration
	// Since is how long ago the reading before it ended well; zero for the first one.
	Since time.Duration
	// Late is by how much Since is longer than readings that succeed at once are apart.
	Late time.Duration
	// Records and Bytes are what it brought.
	Records, Bytes int
}

// reading describes a reading that began at a time and has just ended.
func (f *Follower) reading(begun time.Time, records []Record) Reading {
	now := time.Now()
	r := Reading{Took: now.Sub(begun), Records: len(records)}
	for i := range records {
		r.Bytes += len(records[i].Value)
	}
	if !f.caughtAt.IsZero() {
		r.Since = now.Sub(f.caughtAt)
		r.Late = max(0, r.Since-f.options.Wait-f.pause())
	}
	f.caughtAt = now
	return r
}
