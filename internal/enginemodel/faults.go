package enginemodel

import "github.com/juju/errors"

// Faults are an engine's fault switches.
type Faults struct {
	// SlowFactor multiplies the time of every step; 0 counts as 1.
	SlowFactor float64
	// Hang stops all work without an error.
	Hang bool
	// Dead fails everything in progress, and refuses new requests.
	Dead bool
	// ErrorRate of requests fail before their first token.
	ErrorRate float64
	// CrossRate of requests are answered under another id.
	CrossRate float64
}

// How requests fail.
var (
	ErrUnreachable = errors.New("the engine can't be reached")
	ErrInterrupted = errors.New("the engine died within the answer")
	ErrFailed      = errors.New("the engine failed the request")
	ErrCrossed     = errors.New("the engine answered another request")
	ErrCancelled   = errors.New("the request was cancelled")
)
