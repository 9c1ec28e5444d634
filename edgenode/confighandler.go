package edgenode

import (
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// configHandler puts configurations in force.
type configHandler struct {
	node     *Node
	readings *readingLog
}

// Reset takes the newest records.
func (h *configHandler) Reset(records []keyedlog.Record) { h.Apply(records) }

// Apply takes records in order. Of several configurations only the last is decoded: a
// storm of large ones would cost more time than there is between two of them.
func (h *configHandler) Apply(records []keyedlog.Record) {
	last := make(map[string]keyedlog.Record, 1)
	for _, r := range records {
		if !r.Deleted {
			last[r.Key] = r
		}
	}
	for key, r := range last {
		view, isConfig, err := h.node.deps.DecodeConfig(key, r.Value)
		switch {
		case err != nil:
			h.node.deps.Events.Record(event.ConfigRefused, "key", key, "offset", r.Offset, "error", err)
		case isConfig && h.node.catalog.Publish(view):
			h.node.deps.Events.Record(event.ConfigInForce, "config", view.Version, "offset", r.Offset)
		}
	}
}

// ReadFailed keeps the configuration in force.
func (h *configHandler) ReadFailed(err error) { h.readings.lost(err) }

// ReadSucceeded logs a reading that came late.
func (h *configHandler) ReadSucceeded(r keyedlog.ReadStats) { h.readings.caught(r) }
