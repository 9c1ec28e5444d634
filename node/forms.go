package node

import (
	"time"

	"lavenderpin.dev/lavenderpin/record"
)

// formsKept is how long an answer of allRead is used again: looking at every incarnation
// for each batch that others hand on would cost a gatherer more than the batches.
const formsKept = time.Second

// formsRead is what allRead found last.
type formsRead struct {
	all   bool
	until time.Time
}

// allRead tells whether every open node, as the log shows it, reads gathered and packed
// records. While an update is under way some don't, and this node, until it has folded
// its own first heartbeat, can't tell.
func (n *Node) allRead() bool {
	now := n.deps.Clock.Now()
	if last := n.forms.Load(); last != nil && now.Before(last.until) {
		return last.all
	}
	found := &formsRead{all: n.findForms(), until: now.Add(formsKept)}
	n.forms.Store(found)
	return found.all
}

func (n *Node) findForms() bool {
	if !n.ledger.IsOpen(n.Incarnation()) {
		return false
	}
	for _, open := range n.openNodes() {
		if open.GetRecordForms() < record.Forms {
			return false
		}
	}
	return true
}
