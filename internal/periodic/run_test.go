package periodic

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// A loop that doesn't end with its context keeps its node from stopping, and one that
// waits for its first interval leaves a node without a list or a lease until then.
func TestRunNowRepeatsUntilContextEnds(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	calls, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		RunNow(ctx, clock, time.Second, func(context.Context) { calls <- struct{}{} })
	}()
	<-calls
	for range 3 {
		is.NoErr(clock.BlockUntilContext(ctx, 1))
		clock.Advance(time.Second)
		<-calls
	}
	cancel()
	<-ended
}
