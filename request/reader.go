package request

import "sync/atomic"

// readerState is who reads a completion that this node runs.
type readerState int32

const (
	// readerHere: the caller that sent the request.
	readerHere readerState = iota
	// readerLeft: nobody; the completion is cancelled.
	readerLeft
	// readerMoved: the same caller, at another node.
	readerMoved
)

// reader decides once whether a completion's caller left or moved to another node.
// Were both to happen, the engine would be cancelled under a caller that reads on.
type reader struct{ state atomic.Int32 }

func (r *reader) leave() bool { return r.change(readerLeft) }
func (r *reader) move() bool  { return r.change(readerMoved) }
func (r *reader) hasMoved() bool {
	return readerState(r.state.Load()) == readerMoved
}

func (r *reader) change(to readerState) bool {
	return r.state.CompareAndSwap(int32(readerHere), int32(to))
}
