package edgenode

import (
	"encoding/json"
	"sync"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/presence"
)

// presenceHandler keeps the roster of nodes.
type presenceHandler struct {
	node     *Node
	readings *readingLog
	first    sync.Once
	// known holds the live nodes' incarnations as last logged.
	known map[string]string
}

// Reset takes the newest records.
func (h *presenceHandler) Reset(records []keyedlog.Record) { h.Apply(records) }

// Apply takes records in order.
func (h *presenceHandler) Apply(records []keyedlog.Record) {
	for _, r := range records {
		if r.Deleted {
			h.node.roster.Remove(r.Key)
			continue
		}
		var rec presence.Record
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			h.node.deps.Events.Record(event.BatchVoid, "topic", "presence", "key", r.Key, "error", err)
			continue
		}
		h.node.roster.Update(rec)
	}
}

// tried tells those who wait for the first reading that it is over.
func (h *presenceHandler) tried() { h.first.Do(func() { close(h.node.rosterTried) }) }

// ReadFailed stops the clock by which silent nodes are dropped.
func (h *presenceHandler) ReadFailed(err error) {
	h.node.roster.ReadFailed()
	h.readings.lost(err)
	h.tried()
}

// ReadSucceeded lets it run and logs which nodes came or went.
func (h *presenceHandler) ReadSucceeded(r keyedlog.ReadStats) {
	h.readings.caught(r)
	h.node.roster.ReadSucceeded()
	h.tried()
	now := make(map[string]string)
	for _, r := range h.node.roster.Live() {
		now[r.Node] = r.Incarnation
		if h.known[r.Node] != r.Incarnation {
			h.node.deps.Events.Record(event.PeerJoined, "member", r.Node, "incarnation", r.Incarnation, "ready", r.Ready, "live", len(now))
		}
	}
	for node, incarnation := range h.known {
		if _, live := now[node]; !live {
			h.node.deps.Events.Record(event.PeerGone, "member", node, "incarnation", incarnation, "live", len(now))
		}
	}
	h.known = now
}
