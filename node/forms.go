package node

import (
	"time"

	"lavenderpin.dev/lavenderpin/record"
)

// formsKept is how long an answer of formsRead is used again: looking at every incarnation
// for each batch that others hand on would cost a gatherer more than the batches.
const formsKept = time.Second

// formsFound is what formsRead found last.
type formsFound struct {
	least uint32
	until time.Time
}

// allRead tells whether every open node reads gathered and packed records.
func (n *Node) allRead() bool { return n.formsRead() >= record.FormsGathered }

// allFoldWitnessed tells whether every open node folds what witnesses settle.
func (n *Node) allFoldWitnessed() bool { return n.formsRead() >= record.FormsWitnessed }

// formsRead returns which forms of records every open node reads, as the log shows them.
// While an update is under way some read less, and this node, until it has folded its own
// first heartbeat, can't tell.
func (n *Node) formsRead() uint32 {
	now := n.deps.Clock.Now()
	if last := n.forms.Load(); last != nil && now.Before(last.until) {
		return last.least
	}
	found := &formsFound{least: n.leastForms(), until: now.Add(formsKept)}
	n.forms.Store(found)
	return found.least
}

func (n *Node) leastForms() uint32 {
	if !n.ledger.IsOpen(n.Incarnation()) {
		return 0
	}
	least := uint32(record.SupportedForms)
	for _, open := range n.openNodes() {
		least = min(least, open.GetRecordForms())
	}
	return least
}
