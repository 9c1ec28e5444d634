package appends

import "time"

// Options say what runs.
type Options struct {
	Seed               uint64
	Nodes, DataCentres int
	// Gathered lets nodes hand their batches on; otherwise each appends for itself.
	Gathered bool
	// Settlements and Claims are those of one node in a second.
	Settlements, Claims float64
	// Flush is how long settlements wait for their batch.
	Flush time.Duration
	// LogDelay and PeerDelay are how long a call to the log, and one to another node of
	// the data centre and back, take.
	LogDelay, PeerDelay time.Duration
	Length              time.Duration
}

// DefaultOptions returns two years' load of one node and the delays of today.
func DefaultOptions() Options {
	return Options{Seed: 1, Settlements: 22.6, Claims: 0.5, Flush: 200 * time.Millisecond,
		LogDelay: 3 * time.Millisecond, PeerDelay: time.Millisecond, Length: 20 * time.Second}
}
