package keyedlog

import "time"

// ReadStats is how a successful reading went.
type ReadStats struct {
	// Duration is how long it took, the waiting for a record included.
	Duration time.Duration
	// SinceLast is how long ago the reading before it ended well; zero for the first one.
	SinceLast time.Duration
	// Delay is by how much Since is longer than readings that succeed at once are apart.
	Delay time.Duration
	// Records and Bytes are what it brought.
	Records, Bytes int
}

// reading describes a reading that began at a time and has just ended.
func (f *Follower) reading(begun time.Time, records []Record) ReadStats {
	now := time.Now()
	r := ReadStats{Duration: now.Sub(begun), Records: len(records)}
	for i := range records {
		r.Bytes += len(records[i].Value)
	}
	if !f.caughtAt.IsZero() {
		r.SinceLast = now.Sub(f.caughtAt)
		r.Delay = max(0, r.SinceLast-f.options.Wait-f.pause())
	}
	f.caughtAt = now
	return r
}
