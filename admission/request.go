package admission

import (
	"time"

	"lavenderpin.dev/lavenderpin/routing"
)

// Request is one request within a Scheduler.
type Request struct {
	Params routing.Request

	state       requestState
	cost        float64
	submittedAt time.Time
	account     *accountFlow
	// belowShare is set if the account was below its share when the request was submitted.
	belowShare bool
	onDecision func(err error)
}

type requestState int

const (
	stateNew requestState = iota
	stateWaiting
	stateAdmitted
	stateDone
)

// waitDeadline returns the time until which the request may wait.
func (r *Request) waitDeadline(maxWait time.Duration) time.Time {
	last := r.submittedAt.Add(maxWait)
	if d := r.Params.Deadline; !d.IsZero() && d.Before(last) {
		return d
	}
	return last
}

// resolve sets the state and reports the decision to the caller; it is called once.
func (r *Request) resolve(state requestState, err error) {
	r.state = state
	r.onDecision(err)
}
