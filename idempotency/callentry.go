package idempotency

import (
	"lavenderpin.dev/lavenderpin/recordlog"
)

// phase is the state of a call that this node owns or is claiming.
type phase int

const (
	// claiming: the claim hasn't been read back from the log, so the call must not run.
	claiming phase = iota
	// ready: this node owns the call and it isn't running.
	ready
	// running: one goroutine runs the call.
	running
	// done: every caller of the call gets response or err.
	done
	// dropped: the claim was refused, withdrawn or released; callers start over.
	dropped
)

// callEntry is a call that this node owns or is claiming. It is guarded by Runner.mu.
type callEntry struct {
	call    Call
	phase   phase
	claim   *recordlog.Ticket
	waiters int
	// changed is closed and replaced at each change of phase.
	changed chan struct{}

	response Response
	err      error
	// expiresMS is the Unix time in milliseconds after which a ticket's call may be
	// dropped, or 0 for a call with a key.
	expiresMS int64
}

func newCallEntry(call Call, p phase) *callEntry {
	return &callEntry{call: call, phase: p, changed: make(chan struct{})}
}

func (e *callEntry) setPhase(p phase) {
	e.phase = p
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *callEntry) isTicket() bool { return e.expiresMS != 0 }

func (e *callEntry) size() int {
	return len(e.response.Body) + entryOverhead
}

// entryOverhead is the approximate size of a finished call without its body, in bytes.
const entryOverhead = 512
