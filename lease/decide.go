package lease

import "time"

const (
	// driftMargin covers clocks that run at different speeds: a claimer waits the
	// holder's term and a tenth more, a holder acts a tenth less.
	driftMargin = 10
	// renewals is how often a holder renews within its term.
	renewals = 3
)

// action is what a node does about a lease that it wants.
type action int

const (
	actionNone action = iota
	actionRenew
	actionClaim
)

// observation is what a node knows of a lease it wants.
type observation struct {
	self  string
	state State
	// seen is when this node itself saw the state change last: never earlier than
	// when the holder began to append its claim.
	seen time.Time
	// delay spreads the claims of many nodes over time.
	delay time.Duration
	// pending tells that a claim of this node has no verdict yet.
	pending bool
}

// decide is the whole policy, free of I/O.
func decide(o observation, now time.Time) action {
	if o.pending {
		return actionNone
	}
	term := time.Duration(o.state.TermMS) * time.Millisecond
	waited := now.Sub(o.seen)
	switch {
	case o.state.Holder == o.self:
		if waited >= term/renewals {
			return actionRenew
		}
	case o.state.Holder == "":
		if waited >= o.delay {
			return actionClaim
		}
	case waited >= term+term/driftMargin+o.delay:
		return actionClaim
	}
	return actionNone
}

// actsUntil returns the end of a holder's right to act on a claim that it began to
// append at started.
func actsUntil(started time.Time, term time.Duration) time.Time {
	return started.Add(term - term/driftMargin)
}
