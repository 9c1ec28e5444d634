package admission

import "time"

// Settings of a Core.
type Settings struct {
	// MaxQueue is the most requests that wait, of all accounts together.
	MaxQueue int
	// MaxAccountQueue is the most requests that wait of one account.
	MaxAccountQueue int
	// MaxWait is the longest that a request waits, whatever its deadline.
	MaxWait time.Duration
	// StandingWait bounds it instead once requests have waited without a break for
	// StandingAfter, until none was refused for CalmAfter. A burst may wait, but under
	// lasting overload a long queue only makes everybody late: it stays full, and as
	// many are refused as with a short one.
	StandingWait  time.Duration
	StandingAfter time.Duration
	ClearAfter    time.Duration
	// InitialLimit is the limit to start with, and to come back to when nothing is
	// known of the upstreams.
	InitialLimit int
	// MaxLimit bounds the limit.
	MaxLimit int
	// TargetWaitingRatio is the share of the upstreams' slots that may have a request
	// waiting behind them before the limit falls.
	TargetWaitingRatio float64
	// BelowShareReserve is the part of the limit that only accounts below their share may use.
	BelowShareReserve float64
	// DefaultTokens is the cost of a request that names none.
	DefaultTokens float64
}

// DefaultSettings returns the settings that the experiment of design note 05 favours,
// for so many upstream slots per node.
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
