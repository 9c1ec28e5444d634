package event

import (
	"cmp"
	"slices"
	"sync"
)

// Archive holds the latest events of other nodes, so that the timeline still includes the
// events of a node that has failed. Its memory is bounded; dropped events are counted.
// It is safe for concurrent use.
type Archive struct {
	capacity int

	mu         sync.Mutex
	events     []Event
	lastByNode map[string]Timestamp
	dropped    uint64
}

// NewArchive returns an archive of at most capacity events.
func NewArchive(capacity int) *Archive {
	return &Archive{capacity: capacity, lastByNode: map[string]Timestamp{}}
}

// LastTimestamp returns the timestamp of the last event archived for a node.
func (a *Archive) LastTimestamp(node string) Timestamp {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastByNode[node]
}

// Add archives events of a node, which are sorted by timestamp; omitted is the number of
// events that the node left out.
func (a *Archive) Add(node string, events []Event, omitted uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropped += omitted
	for _, e := range events {
		if e.Timestamp <= a.lastByNode[node] {
			continue
		}
		a.lastByNode[node] = e.Timestamp
		a.events = append(a.events, e)
	}
	if excess := len(a.events) - a.capacity; excess > 0 {
		a.events = slices.Delete(a.events, 0, excess)
		a.dropped += uint64(excess)
	}
}

// RetainNodes drops the last timestamps of all nodes for which keep returns false; their
// events stay.
func (a *Archive) RetainNodes(keep func(node string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for node := range a.lastByNode {
		if !keep(node) {
			delete(a.lastByNode, node)
		}
	}
}

// Find returns the archived events with id in any field, oldest first, or all events for
// an empty id. The second value is the number of events that are missing.
func (a *Archive) Find(id string) ([]Event, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []Event
	for _, e := range a.events {
		if e.mentions(id) {
			found = append(found, e)
		}
	}
	return found, a.dropped
}

// Merge returns events of several sources in causal order without duplicates: an event
// may come from its own node and from another node's archive.
func Merge(events []Event) []Event {
	merged := slices.Clone(events)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), cmp.Compare(a.Node, b.Node))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool { return a.Timestamp == b.Timestamp && a.Node == b.Node })
}
