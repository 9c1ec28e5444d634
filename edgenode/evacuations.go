package edgenode

import (
	"maps"

	"lavenderpin.dev/lavenderpin/event"
	"lavenderpin.dev/lavenderpin/keyedlog"
)

// evacuations follows the operators' requests to evacuate data centres. A request holds as long as its record exists,
// so it outlives restarts of all nodes; a node that can't read the store keeps to what it read last.
type evacuations struct {
	node *Node
	// dataCentres is replaced, never changed: the table of upstreams reads it.
	dataCentres map[string]bool
}

// reset replaces the requests by those of the newest records.
func (e *evacuations) reset(records []keyedlog.Record) { e.set(make(map[string]bool), records) }

// apply adds and removes requests in the order of their records.
func (e *evacuations) apply(records []keyedlog.Record) { e.set(maps.Clone(e.dataCentres), records) }

func (e *evacuations) set(next map[string]bool, records []keyedlog.Record) {
	if e.node.deps.DecodeEvacuation == nil {
		return
	}
	for _, r := range records {
		switch name, ok := e.node.deps.DecodeEvacuation(r.Key); {
		case !ok:
		case r.Deleted:
			delete(next, name)
		case e.node.settings.Regions[name] == "":
			e.node.deps.Events.Record(event.ConfigRefused, "key", r.Key, "offset", r.Offset, "error", "no data centre has this name")
		default:
			next[name] = true
		}
	}
	added, removed := e.node.directory.SetEvacuated(next)
	e.dataCentres = next
	for _, name := range added {
		e.node.deps.Events.Record(event.Evacuation, "data_centre", name, "evacuated", true)
	}
	for _, name := range removed {
		e.node.deps.Events.Record(event.Evacuation, "data_centre", name, "evacuated", false)
	}
}

// EvacuatedDataCentres returns the number of data centres whose upstreams get no requests.
func (n *Node) EvacuatedDataCentres() int { return n.directory.Evacuated() }
