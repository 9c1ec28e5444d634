package bench

import "time"

// Options describes one run of load.
type Options struct {
	Seed     uint64
	Rate     float64
	Duration time.Duration
	// StreamShare and PlainShare are the shares of streamed completions and of plain calls;
	// the rest are completions answered whole. DirectShare is the share of completions
	// sent straight to an engine, to compare with.
	StreamShare, PlainShare, DirectShare float64
	// TokenTime is the embedded engines' time between two tokens.
	TokenTime time.Duration
	// Targets are HTTP addresses of nodes; the fleet is embedded when there are none.
	Targets []string
	Key     string
	Model   string
	// PlainService is called under its own path.
	PlainService string
}

// Prompt lengths, in words.
const (
	minWords = 8
	maxWords = 40
)
