package request

import "sync/atomic"

// callerState says who reads the answer of a completion that runs on this node.
type callerState int32

const (
	// callerAttached: the caller that sent the request reads it.
	callerAttached callerState = iota
	// callerLeft: nobody reads it; the completion is cancelled.
	callerLeft
	// callerMoved: the same caller reads it through another node.
	callerMoved
)

// callerTracker records, at most once, that a completion's caller left or moved to another
// node. If both could happen, the engine would be cancelled while the caller still reads.
type callerTracker struct{ state atomic.Int32 }

func (r *callerTracker) markLeft() bool  { return r.transition(callerLeft) }
func (r *callerTracker) markMoved() bool { return r.transition(callerMoved) }
func (r *callerTracker) hasMoved() bool {
	return callerState(r.state.Load()) == callerMoved
}

func (r *callerTracker) transition(to callerState) bool {
	return r.state.CompareAndSwap(int32(callerAttached), int32(to))
}
