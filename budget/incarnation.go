package budget

import (
	recordv1 "lavenderpin.dev/lavenderpin/api/record/v1"
	"lavenderpin.dev/lavenderpin/fold"
)

// Incarnation is the ledger's state of one run of a node.
type Incarnation struct {
	Node *recordv1.NodeInfo
	// Heartbeat is the number of the last heartbeat applied.
	Heartbeat uint64
	// RightMS is how long the incarnation may spend after it began to append that heartbeat, in
	// milliseconds.
	RightMS  uint64
	Draining bool
	Closed   bool
	Reason   string
	// Opened and ClosedAt are the log offsets of the first heartbeat and of the close.
	Opened   uint64
	ClosedAt uint64
	// Replaced is set once a later incarnation opened at the same peer address: the process is
	// gone, along with what it recorded for other nodes.
	Replaced bool

	// OldestOpen is the counter below which every request is settled or void.
	OldestOpen uint64
	// Settled holds the counters, from OldestOpen on, that are already settled.
	Settled map[uint64]bool
}

// ReasonReplaced is the close reason of an incarnation whose address was taken by another.
const ReasonReplaced = "replaced at its address"

func (i *Incarnation) close(at fold.Position, reason string) {
	i.Closed = true
	i.ClosedAt = at.Offset
	i.Reason = reason
}

func (i *Incarnation) pruneSettled(oldest uint64) {
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
