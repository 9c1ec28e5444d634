package edgenode

import (
	"lavenderpin.dev/lavenderpin/directory"
	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// upstreamHandler maintains the table of upstreams.
type upstreamHandler struct {
	node    *Node
	monitor *readMonitor
}

// Reset replaces the table with the newest entries.
func (h *upstreamHandler) Reset(records []keyedlog.Record) {
	var entries []directory.Entry
	for _, r := range records {
		if r.Deleted {
			continue
		}
		if e, ok := h.decode(r); ok {
			entries = append(entries, e)
		}
	}
	h.node.directory.Replace(entries)
	h.node.origins.UpstreamsChanged()
	h.node.deps.Events.Record(event.UpstreamListed, "entries", len(entries))
}

// Apply applies entries in order. An entry that can't be decoded removes its upstream.
func (h *upstreamHandler) Apply(records []keyedlog.Record) {
	updates := make([]directory.Update, len(records))
	for i, r := range records {
		updates[i] = directory.Update{Entry: directory.Entry{ID: r.Key, Offset: r.Offset}, Removed: true}
		if r.Deleted {
			continue
		}
		if e, ok := h.decode(r); ok {
			updates[i] = directory.Update{Entry: e}
		}
	}
	changes := h.node.directory.Apply(updates)
	h.node.origins.UpstreamsChanged()
	for i, change := range changes {
		if change != directory.Unchanged {
			h.logChange(updates[i], change)
		}
	}
}

func (h *upstreamHandler) logChange(u directory.Update, change directory.Change) {
	if u.Removed {
		h.node.deps.Events.Record(event.UpstreamListed, "upstream", u.Entry.ID, "left", true)
		return
	}
	e := u.Entry
	h.node.deps.Events.Record(event.UpstreamListed, "upstream", e.ID, "service", e.Service, "address", e.Address, "version", e.Version, "left", change == directory.Left, "born", e.StartedAt, "sequence", e.Sequence)
}

// logDropped logs an entry that may have been executed late.
func (n *Node) logDropped(d directory.Dropped) {
	n.deps.Events.Record(event.EntryDropped, "upstream", d.ID, "reason", d.Reason, "born", d.StartedAt, "sequence", d.Sequence, "ready", d.State == directory.Ready,
		"present_born", d.Present.StartedAt, "present_sequence", d.Present.Sequence, "departed", d.Departed)
}

func (h *upstreamHandler) decode(r keyedlog.Record) (directory.Entry, bool) {
	e, err := h.node.deps.DecodeUpstream(r.Key, r.Value)
	if err != nil {
		h.node.deps.Events.Record(event.BatchVoid, "topic", "upstreams", "key", r.Key, "error", err)
		return directory.Entry{}, false
	}
	e.Offset = r.Offset
	return e, true
}

// ReadFailed keeps the entries; those that vanish now may have expired with the store.
func (h *upstreamHandler) ReadFailed(err error) {
	h.node.directory.RecordStoreFailure()
	h.node.directory.Expire()
	h.monitor.ReadFailed(err)
}

// ReadSucceeded drops doubted upstreams whose grace period is over.
func (h *upstreamHandler) ReadSucceeded(r keyedlog.ReadStats) {
	h.node.directory.Expire()
	h.monitor.ReadSucceeded(r)
}
