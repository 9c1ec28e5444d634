package idempotency

import (
	"lavenderpin.dev/lavenderpin/recordlog"
)

// phase is how far a call held by this node has come.
type phase int

const (
	// claiming: the claim isn't read back yet, so nobody may run the call.
	claiming phase = iota
	// free: this node owns the call and nobody runs it.
	free
	// running: one goroutine runs it.
	running
	// ended: answer or err is what every caller of the call gets.
	ended
	// lost: the claim lost or was given up; callers start over.
	lost
)

// heldCall is a call that this node owns or is claiming. The Runner's lock guards it.
type heldCall struct {
	call    Call
	phase   phase
	claim   *recordlog.Ticket
	waiters int
	// changed is closed and replaced at each change of phase.
	changed chan struct{}

	answer Response
	err    error
	// expires is when a ticket's call may be forgotten, in Unix milliseconds; 0
	// for a call with a key.
	expires int64
}

func newHeldCall(call Call, at phase) *heldCall {
	return &heldCall{call: call, phase: at, changed: make(chan struct{})}
}

func (h *heldCall) move(to phase) {
	h.phase = to
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *heldCall) isTicket() bool { return h.expires != 0 }

func (h *heldCall) size() int {
	return len(h.answer.Body) + heldOverhead
}

// heldOverhead is about what an ended call costs beside its body, in bytes.
const heldOverhead = 512
