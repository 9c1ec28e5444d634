package keyedlog

import "time"

// ReadStats describes a successful read.
type ReadStats struct {
	// Duration includes the time spent waiting for a record.
	Duration time.Duration
	// SinceLast is the time since the previous successful read; zero for the first one.
	SinceLast time.Duration
	// Delay is by how much SinceLast exceeds the expected interval: Wait plus the pause.
	Delay time.Duration
	// Records and Bytes count the records and the bytes of their values.
	Records, Bytes int
}

// readStats returns the statistics of a read that has just ended and updates lastSuccess.
func (f *Follower) readStats(started time.Time, records []Record) ReadStats {
	now := time.Now()
	r := ReadStats{Duration: now.Sub(started), Records: len(records)}
	for i := range records {
		r.Bytes += len(records[i].Value)
	}
	if !f.lastSuccess.IsZero() {
		r.SinceLast = now.Sub(f.lastSuccess)
		r.Delay = max(0, r.SinceLast-f.options.Wait-f.pause())
	}
	f.lastSuccess = now
	return r
}
