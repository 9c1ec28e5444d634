package edgenode

import (
	"github.com/vmihailenco/msgpack/v5"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/presence"
)

// presenceHandler keeps the roster of nodes.
type presenceHandler struct{ node *Node }

// Reset takes the newest records.
func (h *presenceHandler) Reset(records []keyedlog.Record) { h.Apply(records) }

// Apply takes records in order.
func (h *presenceHandler) Apply(records []keyedlog.Record) {
	for _, r := range records {
		if r.Deleted {
			h.node.roster.Forget(r.Key)
			continue
		}
		var rec presence.Record
		if err := msgpack.Unmarshal(r.Value, &rec); err != nil {
			h.node.deps.Events.Record(event.BatchVoid, "topic", "presence", "key", r.Key, "error", err)
			continue
		}
		h.node.roster.Hear(rec)
	}
}

// Lost stops the clock by which silent nodes are dropped.
func (h *presenceHandler) Lost(error) { h.node.roster.Lost() }

// Caught lets it run.
func (h *presenceHandler) Caught() { h.node.roster.Caught() }
