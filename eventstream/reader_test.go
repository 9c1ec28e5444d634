package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestReadEvents(t *testing.T) {
	is := is.New(t)
	r := NewReader(strings.NewReader("id: 4\ndata: a\n\ndata: b\r\n\r\n"))
	e, err := r.Next()
	is.NoErr(err)
	is.True(e.HasID)
	is.Equal(e.ID, int64(4))
	is.Equal(string(e.Raw), "id: 4\ndata: a\n\n")
	e, err = r.Next()
	is.NoErr(err)
	is.True(!e.HasID)
	is.Equal(string(e.Raw), "data: b\r\n\r\n")
	_, err = r.Next()
	is.Equal(err, io.EOF)
}

// An engine crashes within an event. The part must not be handed on: the caller would
// take it for an event, and the engine that goes on would send the event again.
func TestTruncatedEventIsAnError(t *testing.T) {
	is := is.New(t)
	for _, cut := range []string{"id: 4\nda", "id: 4\ndata: a\n", "i"} {
		_, err := NewReader(strings.NewReader(cut)).Next()
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	}
}

// A broken engine sends one line without end. Memory must not grow with it.
func TestOversizedEventIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := NewReader(strings.NewReader(strings.Repeat("x", 2*MaxEventBytes))).Next()
	is.Equal(err, ErrTooLong)
}

// FuzzReader checks that whatever is read is passed on byte for byte.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"))
	f.Add([]byte("id:\n\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReader(bytes.NewReader(raw))
		var out []byte
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			out = append(out, e.Raw...)
		}
		if !bytes.HasPrefix(raw, out) {
			t.Fatalf("%q isn't a beginning of %q", out, raw)
		}
	})
}
