package node

import (
	"time"

	"lavenderpin.dev/lavenderpin/record"
)

// recordFormsTTL is how long a result of minRecordForms is cached: checking every incarnation
// for each batch that other nodes submit would cost a gatherer more than the batches.
const recordFormsTTL = time.Second

// cachedRecordForms is the latest result of minRecordForms.
type cachedRecordForms struct {
	min     uint32
	expires time.Time
}

// allReadGathered reports whether every open node reads gathered and packed records.
func (n *Node) allReadGathered() bool { return n.minRecordForms() >= record.FormsGathered }

// allApplyWitnessed reports whether every open node applies settlements by witnesses.
func (n *Node) allApplyWitnessed() bool { return n.minRecordForms() >= record.FormsWitnessed }

// minRecordForms returns the highest level of record forms that every open node reads,
// according to the log. During an upgrade some nodes read less. The result is 0 until this node
// has applied its own first heartbeat, as it can't know before.
func (n *Node) minRecordForms() uint32 {
	now := n.deps.Clock.Now()
	if last := n.recordForms.Load(); last != nil && now.Before(last.expires) {
		return last.min
	}
	fresh := &cachedRecordForms{min: n.computeMinRecordForms(), expires: now.Add(recordFormsTTL)}
	n.recordForms.Store(fresh)
	return fresh.min
}

func (n *Node) computeMinRecordForms() uint32 {
	if !n.ledger.IsOpen(n.Incarnation()) {
		return 0
	}
	least := uint32(record.SupportedForms)
	for _, open := range n.openNodes() {
		least = min(least, open.GetRecordForms())
	}
	return least
}
