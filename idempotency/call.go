package idempotency

import (
	"context"
)

// Digest identifies what a call asks for, so that one key can't name two calls.
type Digest [32]byte

// Call is a call that must run at most once.
type Call struct {
	ID     ID
	Digest Digest
}

// Response is what a call came to. It is held in memory for the caller's retries.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// RunFunc runs a call once. An error whose code says "not run" must be true: the
// call may then be run again.
type RunFunc func(ctx context.Context) (Response, error)

// ForwardFunc asks the owner of a call, at its incarnation's name, to run it or to
// return its answer.
type ForwardFunc func(ctx context.Context, owner string) (Response, error)
