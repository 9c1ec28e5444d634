package lease

import "time"

const (
	// driftDivisor is the margin for clocks that run at different speeds: a claimer waits the
	// holder's term plus a tenth of it, and a holder acts for its term minus a tenth.
	driftDivisor = 10
	// renewalsPerTerm is the number of times that a holder renews within its term.
	renewalsPerTerm = 3
)

// action is what a node does about a lease that it campaigns for.
type action int

const (
	actionNone action = iota
	actionRenew
	actionClaim
)

// observation is what a node knows about a lease that it campaigns for.
type observation struct {
	self  string
	state State
	// changedAt is when this node last saw the state change: never earlier than when the holder
	// began to append its claim.
	changedAt time.Time
	// claimDelay spreads the claims of many nodes over time.
	claimDelay time.Duration
	// pending is set while a claim of this node has no verdict.
	pending bool
}

// decide implements the lease policy without I/O.
func decide(o observation, now time.Time) action {
	if o.pending {
		return actionNone
	}
	term := time.Duration(o.state.TermMS) * time.Millisecond
	waited := now.Sub(o.changedAt)
	switch {
	case o.state.Holder == o.self:
		if waited >= term/renewalsPerTerm {
			return actionRenew
		}
	case o.state.Holder == "":
		if waited >= o.claimDelay {
			return actionClaim
		}
	case waited >= term+term/driftDivisor+o.claimDelay:
		return actionClaim
	}
	return actionNone
}

// actDeadline returns when a holder must stop acting on a claim that it began to append at
// started.
func actDeadline(started time.Time, term time.Duration) time.Time {
	return started.Add(term - term/driftDivisor)
}
