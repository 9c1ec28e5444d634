package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/bubble"
)

// Guards against calls that never connect because each gives up the handshake of the one before.
func TestCallsShareAnAttemptToConnect(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const handshake, patience = 800 * time.Millisecond, 500 * time.Millisecond
		var dials atomic.Int32
		var closed atomic.Bool
		p := newPool(func(ctx context.Context, _ string) (int, error) {
			number := dials.Add(1)
			select {
			case <-time.After(handshake):
				return int(number), nil
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		}, func(int) bool { return !closed.Load() })
		call := func() (int, error) {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			return p.get(ctx, "a")
		}
		_, err := call()
		is.True(errors.Is(err, context.DeadlineExceeded))
		conn, err := call()
		is.NoErr(err)
		is.Equal(conn, 1)
		_, err = call()
		is.NoErr(err)
		is.Equal(dials.Load(), int32(1))
		is.True(!p.remove("a", func(c int) bool { return c == 2 })) // another one
		closed.Store(true)
		_, err = call()
		is.True(err != nil)
		is.Equal(dials.Load(), int32(2)) // a closed connection isn't used
		time.Sleep(handshake)
		is.True(p.remove("a", func(c int) bool { return c == 2 }))
	})
}

// Guards against an attempt to connect that is kept although it failed.
func TestFailedAttemptIsNotKept(t *testing.T) {
	is := is.New(t)
	fail := true
	p := newPool(func(context.Context, string) (int, error) {
		if fail {
			return 0, errors.New("refused")
		}
		return 1, nil
	}, func(int) bool { return true })
	_, err := p.get(t.Context(), "a")
	is.True(err != nil)
	fail = false
	conn, err := p.get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(conn, 1)
}
