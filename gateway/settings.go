package gateway

import (
	"time"

	"lavenderpin.dev/lavenderpin/shedding"
)

// Settings are the gateway's limits.
type Settings struct {
	// BusyRetryAfter is the retry delay if no upstream had capacity: the time in which a full
	// engine finishes some of its requests.
	BusyRetryAfter time.Duration
	// StartupRetryAfter is the retry delay if the node has no configuration yet.
	StartupRetryAfter time.Duration
	// MaxSends bounds how often one request is sent, including to upstreams that refuse it. Each
	// send after the first takes from the retry budget, of which one request must not use much.
	MaxSends int
	// MaxUnsent bounds how often one request fails to be sent for want of a connection.
	MaxUnsent int
	// SilenceFactor times the route's objective is how long an upstream may take to respond
	// before a retryable request is sent to another one.
	SilenceFactor float64
	// GapFactor times the route's MaxGap is how long a resumable stream waits for the next event
	// before it continues at another upstream.
	GapFactor float64
	// MinTimeLeft is the least remaining time for which a send is worthwhile.
	MinTimeLeft time.Duration
	// ReportTimeout bounds the wait for a usage report that raises the share's limit: a few
	// round trips to the store from another region.
	ReportTimeout time.Duration
	// StartupWait bounds how long a node that has just started waits for its first
	// configuration, and for its first grant.
	StartupWait time.Duration
	// Shedding decides which prompts are refused under overload.
	Shedding shedding.Policy
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		BusyRetryAfter:    500 * time.Millisecond,
		StartupRetryAfter: 500 * time.Millisecond,
		MaxSends:          4,
		MaxUnsent:         6,
		SilenceFactor:     1.5,
		GapFactor:         5,
		MinTimeLeft:       20 * time.Millisecond,
		ReportTimeout:     300 * time.Millisecond,
		StartupWait:       400 * time.Millisecond,
		Shedding:          shedding.DefaultPolicy(),
	}
}
