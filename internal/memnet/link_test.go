package memnet

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderpin.dev/lavenderpin/internal/bubble"
)

// Guards against a model in which a host can receive more than its link carries, or lets a small message pass a large one.
func TestLinkDelaysWhatItCarries(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := New()
		n.SetLink("small", 100_000)
		l := n.Listen("small:1")
		first, err := n.DialFrom("caller")(t.Context(), "small:1")
		is.NoErr(err)
		second, err := n.DialFrom("caller")(t.Context(), "small:1")
		is.NoErr(err)
		accepted := make([]io.ReadCloser, 2)
		for i := range accepted {
			accepted[i], err = l.Accept()
			is.NoErr(err)
		}
		began := time.Now()
		_, err = first.Write(make([]byte, 100_000))
		is.NoErr(err)
		_, err = second.Write([]byte("x"))
		is.NoErr(err)
		is.NoErr(second.Close())
		got, err := io.ReadAll(accepted[1]) // its end comes after its data
		is.NoErr(err)
		is.Equal(string(got), "x")
		took := time.Since(began)
		is.True(took > time.Second && took < 1100*time.Millisecond)

		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = first.Write(make([]byte, 100_000))
		is.NoErr(err)
		_, err = n.DialFrom("caller")(ctx, "small:1") // the handshake waits behind the data
		is.True(err != nil)
		is.NoErr(l.Close())
	})
}

// Guards against callers that wait for a connection that nobody will accept.
func TestClosedListenerResetsWhatWaits(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := New()
		l := n.Listen("a:1")
		c, err := n.DialFrom("caller")(t.Context(), "a:1")
		is.NoErr(err)
		is.NoErr(l.Close())
		_, err = c.Read(make([]byte, 1))
		is.True(err != nil && err != io.EOF)
		_, err = n.DialFrom("caller")(t.Context(), "a:1")
		is.True(err != nil)
	})
}
