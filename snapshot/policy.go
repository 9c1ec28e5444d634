package snapshot

import "time"

// Policy tells when the state is written again.
type Policy struct {
	// Records and Bytes of log since the last complete snapshot.
	Records uint64
	Bytes   uint64
	// Age of the last complete snapshot. It must be well under the time that the
	// log keeps records.
	Age time.Duration
}

// DefaultPolicy suits a log that keeps records for a day or more.
func DefaultPolicy() Policy { return Policy{Records: 50_000, Bytes: 32 << 20, Age: time.Hour} }

// Progress is the log since the last complete snapshot.
type Progress struct {
	Records uint64
	Bytes   uint64
	Age     time.Duration
}

// Due tells whether to write a snapshot now. With nothing but snapshots in the log
// since the last one the age still counts: that one must not age out either.
func (p Policy) Due(since Progress) bool {
	return since.Records >= p.Records || since.Bytes >= p.Bytes || since.Age >= p.Age
}
