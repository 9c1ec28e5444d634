package keyedlog

import (
	"context"
	"errors"
	"math"
	"time"
)

// stalledAfter is how long an answer that has begun may bring nothing. It leaves time for a
// second reading within the three seconds in which a change must be in force.
const stalledAfter = 1200 * time.Millisecond

// errStalled tells that an answer stopped arriving.
var errStalled = errors.New("the answer stalled")

// unlimited is a limit that no answer reaches.
const unlimited time.Duration = math.MaxInt64

// withStallLimit returns a context that ends when nothing arrives for too long: first is the
// limit until progress is called for the first time, later the one from then on. An answer
// that keeps arriving has no limit: on a full link, asking again costs what has arrived and
// fills the link further.
func withStallLimit(ctx context.Context, first, later time.Duration) (limited context.Context, progress, cancel func()) {
	limited, end := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { end(errStalled) })
	progress = func() { timer.Reset(later) }
	cancel = func() {
		timer.Stop()
		end(nil)
	}
	return limited, progress, cancel
}

// stalled tells whether a context ended because nothing arrived.
func stalled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStalled) }
