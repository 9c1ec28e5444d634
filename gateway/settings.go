package gateway

import (
	"time"

	"lavenderpin.dev/lavenderpin/shedding"
)

// Settings are the gateway's limits.
type Settings struct {
	// LocalShortageRetryAfter is when a caller may return whose account's tokens are on other
	// nodes: the next node that it draws may hold some.
	LocalShortageRetryAfter time.Duration
	// FleetShortageRetryAfter is when a caller may return of whose account other nodes had too
	// little as well: in that time open requests end and give back what they didn't use.
	FleetShortageRetryAfter time.Duration
	// BusyRetryAfter is when a caller may return that no upstream had room for: the time in
	// which a full engine ends a part of its requests.
	BusyRetryAfter time.Duration
	// StartupRetryAfter is when a caller may return to a node that knows no configuration yet.
	StartupRetryAfter time.Duration
	// MaxSends bounds how often one request is sent, also to upstreams that refuse it.
	// Each send beyond the first is a repeat, and one request must not take many of them.
	MaxSends int
	// SilenceFactor times the route's objective is how long an upstream may take to
	// answer before a request that may be repeated is sent to another one.
	SilenceFactor float64
	// GapFactor times the route's longest pause is how long a stream that may resume
	// waits for the next event before it goes on at another upstream.
	GapFactor float64
	// MinTimeLeft is the least time that is left for an upstream to be worth a send.
	MinTimeLeft time.Duration
	// ReportTimeout bounds the wait for a report that raises the drawn limit: a few round
	// trips to the store from another region.
	ReportTimeout time.Duration
	// StartupWait bounds the waits of a node that has just started for its first
	// configuration and for its first grant.
	StartupWait time.Duration
	// Shedding decides which prompts are refused under a crowd.
	Shedding shedding.Policy
}

// DefaultSettings returns the limits described at each field.
func DefaultSettings() Settings {
	return Settings{
		LocalShortageRetryAfter: 150 * time.Millisecond,
		FleetShortageRetryAfter: time.Second,
		BusyRetryAfter:          500 * time.Millisecond,
		StartupRetryAfter:       500 * time.Millisecond,
		MaxSends:                4,
		SilenceFactor:           1.5,
		GapFactor:               5,
		MinTimeLeft:             20 * time.Millisecond,
		ReportTimeout:           300 * time.Millisecond,
		StartupWait:             400 * time.Millisecond,
		Shedding:                shedding.DefaultPolicy(),
	}
}
