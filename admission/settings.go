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
	// FirstLimit is the limit to start with, and to come back to when nothing is
	// known of the upstreams.
	FirstLimit int
	// MaxLimit bounds the limit.
	MaxLimit int
	// WaitingShare is the share of the upstreams' slots that may have a request
	// waiting behind them before the limit falls.
	WaitingShare float64
	// DefaultTokens is the cost of a request that names none.
	DefaultTokens float64
}

// DefaultSettings returns the settings that the experiment of design note 05 favours,
// for so many upstream slots per node.
func DefaultSettings(slots int) Settings {
	return Settings{
		MaxQueue:        512,
		MaxAccountQueue: 128,
		MaxWait:         time.Second,
		FirstLimit:      max(1, slots),
		MaxLimit:        max(2, 2*slots),
		WaitingShare:    0.03,
		DefaultTokens:   500,
	}
}
