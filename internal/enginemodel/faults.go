package enginemodel

import "github.com/juju/errors"

// Faults selects the faults injected into an engine.
type Faults struct {
	// SlowFactor multiplies the duration of every step; 0 means 1.
	SlowFactor float64
	// Hang stops all work without an error.
	Hang bool
	// Dead fails all requests in progress and refuses new ones.
	Dead bool
	// ErrorRate is the fraction of requests that fail before their first token.
	ErrorRate float64
	// CrossRate is the fraction of requests answered under another request's id.
	CrossRate float64
}

// Errors passed to Request.OnEnd.
var (
	ErrUnreachable = errors.New("engine is unreachable")
	ErrInterrupted = errors.New("engine failed while sending the answer")
	ErrFailed      = errors.New("engine returned an error for the request")
	ErrCrossed     = errors.New("engine returned the answer to another request")
	ErrCancelled   = errors.New("request was cancelled")
)
