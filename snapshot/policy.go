package snapshot

import "time"

// Policy configures when a snapshot is due. Reaching any one of its limits suffices.
type Policy struct {
	// Records and Bytes limit the log since the last complete snapshot.
	Records uint64
	Bytes   uint64
	// Age limits the age of the last complete snapshot. It must be well below the time
	// that the log keeps records.
	Age time.Duration
}

// DefaultPolicy suits a log that keeps records for a day or more.
func DefaultPolicy() Policy { return Policy{Records: 50_000, Bytes: 32 << 20, Age: time.Hour} }

// Progress measures the log since the last complete snapshot.
type Progress struct {
	Records uint64
	Bytes   uint64
	Age     time.Duration
}

// Due reports whether to write a snapshot now. The age counts even when the log holds
// nothing but snapshots since the last one: that one must not age out either.
func (p Policy) Due(progress Progress) bool {
	return progress.Records >= p.Records || progress.Bytes >= p.Bytes || progress.Age >= p.Age
}
