package bodybuffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// endless has no end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

const limit = 64 << 10

// Guards against memory that grows with the number of bodies that have no end, and against memory that isn't given back.
func TestEndlessBodiesShareMemory(t *testing.T) {
	is := is.New(t)
	const size = 512 << 10
	p := NewPool(size)
	var all sync.WaitGroup
	buffers := make([]*Buffer, 200)
	for i := range buffers {
		all.Go(func() { buffers[i], _ = p.Read(endless{}, limit) })
	}
	all.Wait()
	held, short := 0, 0
	for _, b := range buffers {
		held += cap(b.Bytes)
		is.True(!b.Complete)
		if b.Short {
			short++
		}
	}
	is.True(short > 0)
	is.True(held <= size+len(buffers)*FreeBytes)
	is.True(p.Left() >= 0)
	for _, b := range buffers {
		b.Release()
		b.Release()
	}
	is.Equal(p.Left(), int64(size))
}

// Guards against short bodies that are cut because others use all memory.
func TestShortBodyNeedsNoMemoryOfPool(t *testing.T) {
	is := is.New(t)
	p := NewPool(0)
	for _, n := range []int{0, 1, FreeBytes - 1} {
		b, err := p.Read(bytes.NewReader(make([]byte, n)), limit)
		is.NoErr(err)
		is.True(b.Complete && !b.Short)
		is.Equal(len(b.Bytes), n)
	}
}

// Guards against bodies that lose or repeat bytes while their buffer grows, and against limits that don't hold.
func TestBodyIsReadWhole(t *testing.T) {
	is := is.New(t)
	p := NewPool(1 << 20)
	body := strings.Repeat("0123456789", 5_000)
	for _, r := range []io.Reader{strings.NewReader(body), iotest.HalfReader(strings.NewReader(body)), iotest.DataErrReader(strings.NewReader(body))} {
		b, err := p.Read(r, limit)
		is.NoErr(err)
		is.True(b.Complete)
		is.Equal(string(b.Bytes), body)
		b.Release()
	}
	b, err := p.Read(strings.NewReader(body), 1_000)
	is.NoErr(err)
	is.True(!b.Complete && !b.Short)
	is.Equal(len(b.Bytes), 1_000)
	b.Release()
	b, err = p.Read(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)), limit)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(string(b.Bytes), "part")
	b.Release()
	is.Equal(p.Left(), int64(1<<20))
}
