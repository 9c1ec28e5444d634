package result

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Error is a result code with details for the caller.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is how long to wait before a retry. It is zero if a retry can't succeed or
	// no wait is needed.
	RetryAfter time.Duration
	// Pause is set if the upstream asked for no requests during that time, or if this node sent
	// none for that reason.
	Pause time.Duration
	// Unsent is set if this node didn't send the request because the upstream wants none.
	Unsent bool
	// Unconnected is set if no connection to the upstream could be opened, NodeIsolated if no other node
	// answered either, so that the fault is most likely this node's own.
	Unconnected, NodeIsolated bool
	// ConnectionLost is set if the connection to the upstream was lost after the request was sent and before its
	// answer was complete.
	ConnectionLost bool
	// MayHaveRun is set if one attempt was refused but the call may have run in an earlier
	// one, so that the code's "not run" doesn't apply to the call.
	MayHaveRun bool
	// Request is the ID of the request in the fleet's events, or empty if it has none.
	Request string
}

// NotRun reports that the request certainly did not run at an upstream.
func (e *Error) NotRun() bool { return e.Code.Info().NotRun && !e.MayHaveRun }

// WithMayHaveRun returns a copy of the error with MayHaveRun set.
func (e *Error) WithMayHaveRun() *Error {
	copied := *e
	copied.MayHaveRun = true
	return &copied
}

// WithConnectionLost returns a copy of the error with ConnectionLost set.
func (e *Error) WithConnectionLost() *Error {
	copied := *e
	copied.ConnectionLost = true
	return &copied
}

// WithRequest returns the error with the ID of its request. An ID that is already set is
// kept.
func (e *Error) WithRequest(request string) *Error {
	if e.Request != "" {
		return e
	}
	copied := *e
	copied.Request = request
	return &copied
}

// Error returns the code's number and name and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", uint32(e.Code), e.Code, e.Message)
}

// New returns an Error with the given code and a formatted message.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the error with RetryAfter set.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// WithUnsent returns a copy of the error with Unsent set.
func (e *Error) WithUnsent() *Error {
	copied := *e
	copied.Unsent = true
	return &copied
}

// WithUnconnected returns a copy of the error with Unconnected set.
func (e *Error) WithUnconnected() *Error {
	copied := *e
	copied.Unconnected = true
	return &copied
}

// WithNodeIsolated returns a copy of the error with NodeIsolated set.
func (e *Error) WithNodeIsolated() *Error {
	copied := *e
	copied.NodeIsolated = true
	return &copied
}

// TakesRetry reports whether another attempt after the one that failed counts as a retry. It doesn't if
// nothing was sent through the fault of the upstream or of the path to it.
func (e *Error) TakesRetry() bool { return !e.Unsent && (!e.Unconnected || e.NodeIsolated) }

// WithPause returns a copy of the error with Pause set.
func (e *Error) WithPause(d time.Duration) *Error {
	copied := *e
	copied.Pause = d
	return &copied
}

// From returns the Error in the chain of err, or an InternalError if there is none.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var resultErr *Error
	if errors.As(err, &resultErr) {
		return resultErr
	}
	return New(InternalError, "%v", err)
}

// CodeOf returns the code of err, or OK if err is nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
