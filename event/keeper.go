package event

import (
	"cmp"
	"slices"
	"sync"
)

// Keeper keeps the latest events of other nodes, so that the time line still shows
// what a node did after it died. Its memory is bounded; what doesn't fit is counted.
// It is safe for concurrent use.
type Keeper struct {
	capacity int

	mu      sync.Mutex
	events  []Event
	after   map[string]Stamp
	dropped uint64
}

// NewKeeper returns a keeper of at most capacity events.
func NewKeeper(capacity int) *Keeper { return &Keeper{capacity: capacity, after: map[string]Stamp{}} }

// After returns the stamp of the last event kept of a node.
func (k *Keeper) After(node string) Stamp {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.after[node]
}

// Keep takes in a node's events in the order of their stamps; left counts those that
// the node left out.
func (k *Keeper) Keep(node string, events []Event, left uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropped += left
	for _, e := range events {
		if e.Stamp <= k.after[node] {
			continue
		}
		k.after[node] = e.Stamp
		k.events = append(k.events, e)
	}
	if over := len(k.events) - k.capacity; over > 0 {
		k.events = slices.Delete(k.events, 0, over)
		k.dropped += uint64(over)
	}
}

// Forget drops the marks of nodes that are no longer followed; their events stay.
func (k *Keeper) Forget(followed func(node string) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for node := range k.after {
		if !followed(node) {
			delete(k.after, node)
		}
	}
}

// Since returns the kept events that carry id, oldest first, and how many are missing.
func (k *Keeper) Since(id string) ([]Event, uint64) {
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
		return cmp.Or(cmp.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Node, b.Node))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool { return a.Stamp == b.Stamp && a.Node == b.Node })
}
