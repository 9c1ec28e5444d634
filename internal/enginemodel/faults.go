package enginemodel

import "github.com/juju/errors"

// Faults are an engine's fault switches.
type Faults struct {
	// SlowBy multiplies the time of every step; 0 counts as 1.
	SlowBy float64
	// Hang stops all work without an error.
	Hang bool
	// Dead fails everything in progress, and refuses new requests.
	Dead bool
	// ErrorShare of requests fail before their first token.
	ErrorShare float64
	// CrossShare of requests are answered under another id.
	CrossShare float64
}

// How requests fail.
var (
	ErrDead      = errors.New("the engine can't be reached")
	ErrCut       = errors.New("the engine died within the answer")
	ErrFailed    = errors.New("the engine failed the request")
	ErrCrossed   = errors.New("the engine answered another request")
	ErrCancelled = errors.New("the request was cancelled")
)
