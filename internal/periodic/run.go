package periodic

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Run calls work after each interval until ctx ends. Work that takes longer than the
// interval delays the next call; calls missed in the meantime are skipped.
func Run(ctx context.Context, clock clockwork.Clock, interval time.Duration, work func(context.Context)) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			work(ctx)
		}
	}
}

// RunNow is like Run but makes the first call immediately.
func RunNow(ctx context.Context, clock clockwork.Clock, interval time.Duration, work func(context.Context)) {
	work(ctx)
	Run(ctx, clock, interval, work)
}
