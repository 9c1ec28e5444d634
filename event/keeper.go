package event

import (
	"cmp"
	"slices"
	"sync"
)

// Archive keeps the latest events of other nodes, so that the time line still shows
// what a node did after it died. Its memory is bounded; what doesn't fit is counted.
// It is safe for concurrent use.
type Archive struct {
	capacity int

	mu      sync.Mutex
	events  []Event
	after   map[string]Timestamp
	dropped uint64
}

// NewArchive returns a keeper of at most capacity events.
func NewArchive(capacity int) *Archive {
	return &Archive{capacity: capacity, after: map[string]Timestamp{}}
}

// LastTimestamp returns the stamp of the last event kept of a node.
func (k *Archive) LastTimestamp(node string) Timestamp {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.after[node]
}

// Add takes in a node's events in the order of their stamps; left counts those that
// the node left out.
func (k *Archive) Add(node string, events []Event, left uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropped += left
	for _, e := range events {
		if e.Timestamp <= k.after[node] {
			continue
		}
		k.after[node] = e.Timestamp
		k.events = append(k.events, e)
	}
	if over := len(k.events) - k.capacity; over > 0 {
		k.events = slices.Delete(k.events, 0, over)
		k.dropped += uint64(over)
	}
}

// RetainNodes drops the marks of nodes that are no longer followed; their events stay.
func (k *Archive) RetainNodes(followed func(node string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for node := range k.after {
		if !followed(node) {
			delete(k.after, node)
		}
	}
}

// Find returns the kept events that carry id, oldest first, and how many are missing.
func (k *Archive) Find(id string) ([]Event, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var found []Event
	for _, e := range k.events {
		if e.carries(id) {
			found = append(found, e)
		}
	}
	return found, k.dropped
}

// Merge returns events of several sources in causal order, each once: an event may
// come from its own node and from one that kept it.
func Merge(events []Event) []Event {
	merged := slices.Clone(events)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), cmp.Compare(a.Node, b.Node))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool { return a.Timestamp == b.Timestamp && a.Node == b.Node })
}
