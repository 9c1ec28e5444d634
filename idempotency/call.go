package idempotency

import (
	"context"
)

// Digest is the hash of a call's request; it detects a key reused for another request.
type Digest [32]byte

// Call identifies a call that must run at most once.
type Call struct {
	ID     ID
	Digest Digest
}

// Response is the response to a call, kept in memory for the caller's retries.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// RunFunc executes a call once. It may return an error whose code says "not run" only
// if the call certainly did not run, since the call may then be run again.
type RunFunc func(ctx context.Context) (Response, error)

// ForwardFunc asks the incarnation that owns a call to run it or to return its response.
type ForwardFunc func(ctx context.Context, owner string) (Response, error)
