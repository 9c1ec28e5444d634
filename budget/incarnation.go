package budget

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
)

// Incarnation is the folded state of one run of a node.
type Incarnation struct {
	Node *recordv1.NodeInfo
	// Heartbeat is the number of the last heartbeat folded.
	Heartbeat uint64
	// RightMS is how long after the start of appending that heartbeat the
	// incarnation may spend, in milliseconds.
	RightMS  uint64
	Draining bool
	Closed   bool
	Reason   string
	// Opened and ClosedAt are the log offsets of the first heartbeat and of the close.
	Opened   uint64
	ClosedAt uint64
	// Replaced is set once a later incarnation opened at the same peer address: the
	// process is gone, and with it what it remembered for others.
	Replaced bool

	// OldestOpen is the counter below which every request is settled or void.
	OldestOpen uint64
	// Settled holds the counters from OldestOpen on that are settled already.
	Settled map[uint64]bool
}

// ReasonReplaced is why an incarnation was closed whose address another one took.
const ReasonReplaced = "replaced at its address"

func (i *Incarnation) close(at fold.Position, reason string) {
	i.Closed = true
	i.ClosedAt = at.Offset
	i.Reason = reason
}

func (i *Incarnation) forgetBelow(oldest uint64) {
	if oldest <= i.OldestOpen {
		return
	}
	i.OldestOpen = oldest
	for counter := range i.Settled {
		if counter < oldest {
			delete(i.Settled, counter)
		}
	}
}

func (i *Incarnation) isSettled(counter uint64) bool {
	return counter < i.OldestOpen || i.Settled[counter]
}
