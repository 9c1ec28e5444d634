package appends

import "time"

// Options say what runs.
type Options struct {
	Seed               uint64
	Nodes, DataCentres int
	// Gathered lets nodes hand their batches on; otherwise each appends for itself.
	Gathered bool
	// SettlementsPerSecond and ClaimsPerSecond are those of one node in a second.
	SettlementsPerSecond, ClaimsPerSecond float64
	// FlushDelay is how long settlements wait for their batch.
	FlushDelay time.Duration
	// LogDelay and PeerDelay are how long a call to the log, and one to another node of
	// the data centre and back, take.
	LogDelay, PeerDelay time.Duration
	Duration            time.Duration
}

// DefaultOptions returns two years' load of one node and the delays of today.
func DefaultOptions() Options {
	return Options{Seed: 1, SettlementsPerSecond: 22.6, ClaimsPerSecond: 0.5, FlushDelay: 200 * time.Millisecond,
		LogDelay: 3 * time.Millisecond, PeerDelay: time.Millisecond, Duration: 20 * time.Second}
}
