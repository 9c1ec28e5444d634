package edgenode

import (
	"encoding/json"
	"sync"
	"time"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
	"lavenderpin.dev/lavenderpin/presence"
)

// presenceHandler maintains the roster of nodes.
type presenceHandler struct {
	node      *Node
	monitor   *readMonitor
	firstRead sync.Once
	// loggedIncarnations holds the live nodes' incarnations as last logged.
	loggedIncarnations map[string]string
}

// Reset applies the newest records.
func (h *presenceHandler) Reset(records []keyedlog.Record) { h.Apply(records) }

// Apply applies records in order.
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
		if rec.Node != h.node.settings.Node {
			h.node.share.ObserveClock(rec.Node, time.Duration(rec.SentTimeMs)*time.Millisecond)
		}
	}
}

// firstReadDone wakes those that wait for the first read.
func (h *presenceHandler) firstReadDone() { h.firstRead.Do(func() { close(h.node.firstRosterRead) }) }

// ReadFailed stops the clock by which silent nodes are dropped.
func (h *presenceHandler) ReadFailed(err error) {
	h.node.roster.ReadFailed()
	h.monitor.ReadFailed(err)
	h.firstReadDone()
}

// ReadSucceeded starts that clock again and logs which nodes joined or left.
func (h *presenceHandler) ReadSucceeded(r keyedlog.ReadStats) {
	h.monitor.ReadSucceeded(r)
	h.node.roster.ReadSucceeded()
	h.firstReadDone()
	live := make(map[string]string)
	for _, r := range h.node.roster.Live() {
		live[r.Node] = r.Incarnation
		if h.loggedIncarnations[r.Node] != r.Incarnation {
			h.node.deps.Events.Record(event.PeerJoined, "member", r.Node, "incarnation", r.Incarnation, "ready", r.Ready, "live", len(live))
		}
	}
	for node, incarnation := range h.loggedIncarnations {
		if _, isLive := live[node]; !isLive {
			h.node.deps.Events.Record(event.PeerGone, "member", node, "incarnation", incarnation, "live", len(live))
		}
	}
	h.loggedIncarnations = live
}
