package admission

import (
	"time"

	"lavenderpin.dev/lavenderpin/routing"
)

// Item is one request within a Core.
type Item struct {
	Ask routing.Request

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
func (i *Item) lastMoment(maxWait time.Duration) time.Time {
	last := i.arrived.Add(maxWait)
	if d := i.Ask.Deadline; !d.IsZero() && d.Before(last) {
		return d
	}
	return last
}

// answer tells the caller once.
func (i *Item) answer(state itemState, err error) {
	i.state = state
	i.decide(err)
}
