package appends

import "time"

// Options configures one run.
type Options struct {
	Seed               uint64
	Nodes, DataCentres int
	// Gathered makes nodes hand their batches on to a gatherer; otherwise each node appends
	// its own.
	Gathered bool
	// SettlementsPerSecond and ClaimsPerSecond are the rates of one node.
	SettlementsPerSecond, ClaimsPerSecond float64
	// FlushDelay is how long settlements wait for their batch.
	FlushDelay time.Duration
	// LogDelay is the latency of a call to the log, PeerDelay the round-trip time to another
	// node of the data centre.
	LogDelay, PeerDelay time.Duration
	Duration            time.Duration
}

// DefaultOptions returns the load of one node as expected in two years, with current
// latencies.
func DefaultOptions() Options {
	return Options{Seed: 1, SettlementsPerSecond: 22.6, ClaimsPerSecond: 0.5, FlushDelay: 200 * time.Millisecond,
		LogDelay: 3 * time.Millisecond, PeerDelay: time.Millisecond, Duration: 20 * time.Second}
}
