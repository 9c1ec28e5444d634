// Package stall bounds how long a response may make no progress, however long the whole takes.
package stall

import (
	"context"
	"errors"
	"math"
	"time"
)

// NoTimeout is a timeout that no response reaches.
const NoTimeout time.Duration = math.MaxInt64

// errStalled is the cause of a context that ended because nothing arrived.
var errStalled = errors.New("the response stalled")

// WithTimeout returns a context that ends when nothing arrives for too long: first is the
// timeout until progress is called for the first time, next the one after each call. A response
// that keeps arriving is not limited: on a saturated link, a retry discards what has arrived and
// adds to the load.
func WithTimeout(ctx context.Context, first, next time.Duration) (limited context.Context, progress, cancel func()) {
	limited, cancelCause := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancelCause(errStalled) })
	progress = func() { timer.Reset(next) }
	cancel = func() {
		timer.Stop()
		cancelCause(nil)
	}
	return limited, progress, cancel
}

// TimedOut reports whether a context ended because nothing arrived.
func TimedOut(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStalled) }
