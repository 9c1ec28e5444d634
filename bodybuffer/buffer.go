package bodybuffer

import (
	"io"
	"sync"
)

// FreeBytes is how much of each body, in bytes, takes nothing from the pool, so that short ones are read whole whatever others bring.
const FreeBytes = 4 << 10

// Buffer is the beginning of a body, or all of it. Release must be called once it isn't used any more.
type Buffer struct {
	// Bytes are what was read. They must not be used after Release.
	Bytes []byte
	// Complete reports that the body has ended.
	Complete bool
	// Short reports that reading stopped since the pool had no memory left.
	Short bool

	pool    *Pool
	taken   int64
	release sync.Once
}

// Read reads a body to its end, or until limit bytes or all memory of the pool are used. What was read before an error is
// returned with it.
func (p *Pool) Read(body io.Reader, limit int) (*Buffer, error) {
	b := &Buffer{pool: p, Bytes: make([]byte, 0, min(FreeBytes, limit))}
	for len(b.Bytes) < limit {
		if len(b.Bytes) == cap(b.Bytes) && !b.grow(limit) {
			b.Short = true
			return b, nil
		}
		n, err := body.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if err == io.EOF {
			b.Complete = true
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

// grow doubles the buffer, up to limit bytes; false if the pool has no memory for that.
func (b *Buffer) grow(limit int) bool {
	size := min(2*cap(b.Bytes), limit)
	more := int64(size) - FreeBytes - b.taken
	if !b.pool.take(more) {
		return false
	}
	b.taken += more
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return true
}

// Release gives the memory back. Further calls do nothing.
func (b *Buffer) Release() {
	b.release.Do(func() {
		b.Bytes = nil
		b.pool.giveBack(b.taken)
	})
}
