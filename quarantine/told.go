package quarantine

import (
	"context"
	"time"
)

// tellTimeout bounds how long a caller waits for its failure while other nodes are told: two round trips between
// regions on connections that are open.
const tellTimeout = 150 * time.Millisecond

// AwaitTold waits until other nodes know, or for tellTimeout.
func AwaitTold(ctx context.Context, told <-chan struct{}) {
	if told == nil {
		return
	}
	timer := time.NewTimer(tellTimeout)
	defer timer.Stop()
	select {
	case <-told:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// both returns a channel that is closed once two others are; either may be nil.
func both(a, b <-chan struct{}) <-chan struct{} {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		timer := time.NewTimer(tellTimeout)
		defer timer.Stop()
		for _, c := range []<-chan struct{}{a, b} {
			select {
			case <-c:
			case <-timer.C:
				return // nobody waits any more
			}
		}
	}()
	return done
}
