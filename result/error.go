package result

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Error is a result code with what a person needs to act on it.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is when to come back; zero when a retry can't help or at once will do.
	RetryAfter time.Duration
	// MayHaveRun is set on a refusal of one try whose call may have run in an
	// earlier one: the code's "not run" isn't true of the call then.
	MayHaveRun bool
	// Request is the id under which the fleet's events tell of the request; empty when
	// it has none.
	Request string
}

// NotRun tells that the request certainly did not run at an upstream.
func (e *Error) NotRun() bool { return e.Code.Info().NotRun && !e.MayHaveRun }

// WithMayHaveRun returns the error without the claim that nothing ran.
func (e *Error) WithMayHaveRun() *Error {
	doubted := *e
	doubted.MayHaveRun = true
	return &doubted
}

// WithRequest returns the error with the id of its request; an id that it has already stays.
func (e *Error) WithRequest(request string) *Error {
	if e.Request != "" {
		return e
	}
	named := *e
	named.Request = request
	return &named
}

// Error returns number, name and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", uint32(e.Code), e.Code, e.Message)
}

// New returns an Error with a formatted message.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns the same error with the time after which a retry can help.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	later := *e
	later.RetryAfter = d
	return &later
}

// From finds the Error within err; any other error reads as InternalError.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return New(InternalError, "%v", err)
}

// CodeOf returns the code within err, OK for nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
