package node

import (
	"context"

	"github.com/qmuntal/stateless"

	"lavenderpin.dev/lavenderpin/event"
)

// State is a state in a node's lifecycle.
type State string

// The lifecycle states of a node.
const (
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateDraining State = "draining"
	StateStopped  State = "stopped"
	StateClosed   State = "closed"
)

type trigger string

const (
	triggerReady trigger = "ready"
	triggerDrain trigger = "drain"
	triggerStop  trigger = "stop"
	triggerClose trigger = "close"
)

// newLifecycle returns a node's state machine. Once the fleet has closed its incarnation a
// node never serves again; the daemon starts a new one.
func newLifecycle(events *event.Recorder) *stateless.StateMachine {
	m := stateless.NewStateMachine(StateStarting)
	record := func(number event.Number) stateless.ActionFunc {
		return func(_ context.Context, fields ...any) error {
			events.Record(number, fields...)
			return nil
		}
	}
	m.Configure(StateStarting).
		Permit(triggerReady, StateServing).
		Permit(triggerDrain, StateDraining).
		Permit(triggerClose, StateClosed).
		Permit(triggerStop, StateStopped)
	m.Configure(StateServing).
		OnEntry(record(event.NodeServing)).
		Permit(triggerDrain, StateDraining).
		Permit(triggerClose, StateClosed).
		Permit(triggerStop, StateStopped)
	m.Configure(StateDraining).
		OnEntry(record(event.NodeDraining)).
		Permit(triggerClose, StateClosed).
		Permit(triggerStop, StateStopped).
		Ignore(triggerReady).
		Ignore(triggerDrain)
	m.Configure(StateClosed).
		OnEntry(record(event.NodeClosed)).
		Permit(triggerStop, StateStopped).
		Ignore(triggerReady).Ignore(triggerDrain).Ignore(triggerClose)
	m.Configure(StateStopped).
		OnEntry(record(event.NodeStopped)).
		Ignore(triggerReady).Ignore(triggerDrain).Ignore(triggerClose).Ignore(triggerStop)
	return m
}
