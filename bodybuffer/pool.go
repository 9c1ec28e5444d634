package bodybuffer

import "sync/atomic"

// DefaultBytes is the size of a pool, in bytes, for a process whose memory isn't known: eight of the longest answers that are held whole.
const DefaultBytes = 64 << 20

// memoryDivisor is the part of a process's memory that a pool may use: beside the bodies stand the requests, the connections, and
// what the garbage collector hasn't freed yet.
const memoryDivisor = 8

// Pool bounds the memory of all bodies that are held at a time. It is safe for concurrent use.
type Pool struct{ left atomic.Int64 }

// NewPool returns a pool of a size in bytes.
func NewPool(bytes int64) *Pool {
	p := &Pool{}
	p.left.Store(bytes)
	return p
}

// NewPoolFor returns a pool for a process with an amount of memory in bytes; zero if that isn't known.
func NewPoolFor(memory int64) *Pool {
	if memory <= 0 {
		return NewPool(DefaultBytes)
	}
	return NewPool(memory / memoryDivisor)
}

// Left returns how many bytes are left.
func (p *Pool) Left() int64 { return p.left.Load() }

// take takes n bytes; false if there aren't as many left.
func (p *Pool) take(n int64) bool {
	for {
		left := p.left.Load()
		if left < n {
			return false
		}
		if p.left.CompareAndSwap(left, left-n) {
			return true
		}
	}
}

func (p *Pool) giveBack(n int64) { p.left.Add(n) }
