package admission

import "time"

// Settings configures a Scheduler.
type Settings struct {
	// MaxQueue is the maximum number of waiting requests of all accounts together.
	MaxQueue int
	// MaxAccountQueue is the maximum number of waiting requests of one account.
	MaxAccountQueue int
	// MaxWait is the longest time that a request waits, regardless of its deadline.
	MaxWait time.Duration
	// StandingWait replaces MaxWait once requests have waited without a gap for StandingAfter,
	// until none was refused for ClearAfter. A burst may wait, but under sustained overload a
	// long queue only makes every answer late: it stays full, and as many requests are refused
	// as with a short one.
	StandingWait  time.Duration
	StandingAfter time.Duration
	ClearAfter    time.Duration
	// InitialLimit is the limit to start with, and to return to when the upstreams report no
	// load.
	InitialLimit int
	// MaxLimit is the upper bound of the limit.
	MaxLimit int
	// TargetWaitingRatio is the number of waiting requests per upstream slot above which the
	// limit falls.
	TargetWaitingRatio float64
	// BelowShareReserve is the fraction of the limit that only accounts below their share may
	// use.
	BelowShareReserve float64
	// DefaultTokens is the cost of a request without a token estimate.
	DefaultTokens float64
}

// DefaultSettings returns the settings chosen by the experiment in design note 05, for the
// given number of upstream slots per node.
func DefaultSettings(slots int) Settings {
	return Settings{
		MaxQueue:           512,
		MaxAccountQueue:    128,
		MaxWait:            time.Second,
		StandingWait:       50 * time.Millisecond,
		StandingAfter:      time.Second,
		ClearAfter:         5 * time.Second,
		InitialLimit:       max(1, slots),
		MaxLimit:           max(2, 2*slots),
		TargetWaitingRatio: 0.02,
		BelowShareReserve:  0.2,
		DefaultTokens:      500,
	}
}
