// Package stall bounds how long an answer may bring nothing, whatever the whole takes.
package stall

import (
	"context"
	"errors"
	"math"
	"time"
)

// NoTimeout is a limit that no answer reaches.
const NoTimeout time.Duration = math.MaxInt64

// errStalled tells that an answer stopped arriving.
var errStalled = errors.New("the answer stalled")

// WithTimeout returns a context that ends when nothing arrives for too long: first is the limit
// until progress is called for the first time, later the one from then on. An answer that
// keeps arriving has no limit: on a full link, asking again costs what has arrived and fills
// the link further.
func WithTimeout(ctx context.Context, first, later time.Duration) (limited context.Context, progress, cancel func()) {
	limited, end := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { end(errStalled) })
	progress = func() { timer.Reset(later) }
	cancel = func() {
		timer.Stop()
		end(nil)
	}
	return limited, progress, cancel
}

// TimedOut tells whether a context ended because nothing arrived.
func TimedOut(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStalled) }
