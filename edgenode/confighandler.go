package edgenode

import (
	"maps"
	"slices"

	"lavenderpin.dev/lavenderpin/catalog"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// configHandler publishes configurations to the catalog and applies evacuations.
type configHandler struct {
	node        *Node
	monitor     *readMonitor
	evacuations evacuations
}

func newConfigHandler(n *Node) *configHandler {
	return &configHandler{node: n, monitor: n.newReadMonitor("config"), evacuations: evacuations{node: n}}
}

// Reset applies the newest records.
func (h *configHandler) Reset(records []keyedlog.Record) {
	h.evacuations.reset(records)
	h.publish(records)
}

// Apply applies records in order.
func (h *configHandler) Apply(records []keyedlog.Record) {
	h.evacuations.apply(records)
	h.publish(records)
}

// publish publishes the newest configuration. Of several ones only the last is decoded: in a burst
// of large ones, decoding each would take longer than the interval between them.
func (h *configHandler) publish(records []keyedlog.Record) {
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
			h.node.directory.ConfigChanged()
			h.checkRegions(view)
			h.node.deps.Events.Record(event.ConfigInForce, "config", view.Version, "offset", r.Offset)
		}
	}
}

// checkRegions logs the regions of routes and client accounts that have no data centre: requests that only they may
// serve are refused.
func (h *configHandler) checkRegions(view *catalog.View) {
	known := slices.Collect(maps.Values(h.node.settings.Regions))
	for _, name := range view.RegionNames() {
		if !slices.Contains(known, name) {
			h.node.deps.Events.Record(event.RegionUnknown, "config", view.Version, "region", name)
		}
	}
}

// ReadFailed leaves the current configuration in effect.
func (h *configHandler) ReadFailed(err error) { h.monitor.ReadFailed(err) }

// ReadSucceeded logs a late read.
func (h *configHandler) ReadSucceeded(r keyedlog.ReadStats) { h.monitor.ReadSucceeded(r) }
