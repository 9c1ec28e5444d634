package gateway

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/directory"
)

// bubbleClock is a boot clock in a test's own time.
type bubbleClock struct{}

func (bubbleClock) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// newBubbleBed is a bed in a test's own time; extra is the budget for repeats.
func newBubbleBed(extra float64, s script) *bed {
	b := newBed(extra, s)
	b.Clock = bubbleClock{}
	return b
}

func (b *bed) ask(route string) *caller {
	r := b.request(route)
	r.Arrived = b.Clock.Now()
	c := &caller{}
	b.Serve(context.Background(), r, c)
	return c
}

// after answers once a time has passed.
func after(ctx context.Context, d time.Duration) (*Response, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(d):
		return answer(200, false, strings.NewReader("ok")), nil
	}
}

// A crowd keeps an engine busy: it answers its callers one after the other, each late. Taken
// away from it, a request begins anew behind others elsewhere, and the budget for repeats is
// used up by requests that would have been answered.
func TestBusyUpstreamKeepsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var sent atomic.Int64
		b := newBubbleBed(1000, func(ctx context.Context, u *directory.Upstream, d *Dispatch) (*Response, error) {
			if n := sent.Add(1); n > 1 {
				return after(ctx, 10*time.Millisecond)
			}
			return after(ctx, time.Second)
		})
		b.Gateway.settings.Shedding.Threshold = 100 // only the watch is looked at
		for _, u := range b.Directory.Current().Upstreams("s")[1:] {
			b.Directory.Remove(u.ID)
		}
		done := make(chan *caller)
		go func() { done <- b.ask("read") }()
		for range 40 {
			time.Sleep(20 * time.Millisecond)
			is.Equal(b.ask("read").status, 200)
		}
		is.Equal((<-done).status, 200)
		is.Equal(sent.Load(), int64(41)) // none was sent twice
	})
}

// An engine is late and the budget for repeats is spent. The request must stay where it is:
// taken away with nowhere to go it would fail, though its engine answers in time.
func TestExhaustedRetryBudgetCancelsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBubbleBed(0, func(ctx context.Context, _ *directory.Upstream, _ *Dispatch) (*Response, error) {
			return after(ctx, time.Second)
		})
		is.Equal(b.ask("read").status, 200)
		is.Equal(len(b.up.sent), 1)
	})
}

// An engine goes dark under a crowd, while the others hold many requests for some time.
// Counted by its open requests alone it looks no worse than they do, and a quarter of all
// callers waits there until their deadlines.
func TestNewRequestsAvoidUnresponsiveUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var dark atomic.Int64
		b := newBubbleBed(1000, func(ctx context.Context, u *directory.Upstream, _ *Dispatch) (*Response, error) {
			if u.ID == "u0" {
				dark.Add(1)
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return after(ctx, 400*time.Millisecond)
		})
		for _, u := range b.Directory.Current().Upstreams("s") {
			entry := u.Entry
			entry.Slots = 64
			b.Directory.Put(entry)
		}
		for range 100 {
			go b.ask("file")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		is.True(dark.Load() <= 10) // of 100
	})
}
