package queuedelay

import (
	"sync"
	"time"
)

// longestWay bounds what counts as the way to another node and back without any queue: an exchange that takes longer
// waited, also if none was shorter yet.
const longestWay = 100 * time.Millisecond

// neighbour holds how long exchanges with one other node take. It is safe for concurrent use.
type neighbour struct {
	mu sync.Mutex
	// address is the node's; what is known is of this one.
	address string
	// way is the shortest exchange so far; zero before the first.
	way time.Duration
	// last is how long the last exchange took beyond the way.
	last time.Duration
	// began is when the open exchange began; open is false if there is none.
	began time.Duration
	open  bool
	// failed is set if the last exchange got no answer: the other node or the path may be the cause.
	failed bool
}

// begin records that an exchange with the node at an address begins.
func (n *neighbour) begin(address string, now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address != n.address {
		n.address, n.way, n.last, n.failed = address, 0, 0, false
	}
	n.began, n.open = now, true
}

// end records that the open exchange ended, and returns how long it waited; zero if nothing was answered.
func (n *neighbour) end(now time.Duration, answered bool) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open, n.failed = false, !answered
	if !answered {
		return 0
	}
	took := max(1, now-n.began)
	if n.way == 0 || took < n.way {
		n.way = min(took, longestWay)
	}
	n.last = took - n.way
	return n.last
}

// delay returns how long an exchange waits now; false if that isn't known. One that is open counts with its age.
func (n *neighbour) delay(now time.Duration) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.failed || n.address == "":
		return 0, false
	case n.open:
		return max(n.last, now-n.began-n.way), true
	default:
		return n.last, true
	}
}
