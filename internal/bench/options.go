package bench

import "time"

// Options configures one load run.
type Options struct {
	Seed uint64
	// Rate is the mean number of requests a second; arrivals form a Poisson process.
	Rate     float64
	Duration time.Duration
	// StreamShare and PlainShare are the shares of streamed completions and of plain calls;
	// the rest are completions that aren't streamed. DirectShare is the share of completions
	// sent directly to an engine, as a baseline.
	StreamShare, PlainShare, DirectShare float64
	// TokenTime is the embedded engines' interval between tokens.
	TokenTime time.Duration
	// Targets are HTTP addresses of nodes; if there are none, an embedded fleet is started.
	Targets []string
	Key     string
	Model   string
	// PlainService is the name of the service that gets the plain calls.
	PlainService string
}

// Prompt lengths, in words.
const (
	minWords = 8
	maxWords = 40
)
