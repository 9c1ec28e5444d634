package admission

import (
	"time"

	"lavenderpin.dev/lavenderpin/routing"
)

// Request is one request within a Core.
type Request struct {
	Params routing.Request

	state   itemState
	cost    float64
	arrived time.Time
	account *accountFlow
	// light is set if the account had had less than its share when the item came.
	light  bool
	decide func(err error)
}

type itemState int

const (
	stateNew itemState = iota
	stateWaiting
	stateAdmitted
	stateOver
)

// lastMoment returns until when the item may wait.
func (i *Request) lastMoment(maxWait time.Duration) time.Time {
	last := i.arrived.Add(maxWait)
	if d := i.Params.Deadline; !d.IsZero() && d.Before(last) {
		return d
	}
	return last
}

// answer tells the caller once.
func (i *Request) answer(state itemState, err error) {
	i.state = state
	i.decide(err)
}
