package presence

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leastEvery is the shortest interval of a node's records: a dead node is noticed
	// after five of them.
	leastEvery = 500 * time.Millisecond
	// perNode lengthens the interval with the fleet, up to quietEvery, so that all nodes
	// together write no more than some 80 records a second up to 160 nodes.
	perNode = 12 * time.Millisecond
	// quietEvery is the interval of nodes whose addresses callers aren't told: nobody
	// waits for news of them.
	quietEvery = 2 * time.Second
)

// named tells whether callers of a node's region are told its address while it is ready.
func named(live []Record, own Record) bool {
	near := []Record{own}
	for _, r := range live {
		if r.Region == own.Region && r.Node != own.Node {
			near = append(near, r)
		}
	}
	return slices.ContainsFunc(large(near), func(r Record) bool { return r.Node == own.Node })
}

// RecordInterval returns the interval at which a node should write its own record.
func RecordInterval(live []Record, own Record) time.Duration {
	every := max(leastEvery, min(quietEvery, time.Duration(len(live))*perNode))
	if !named(live, own) {
		return max(every, quietEvery)
	}
	return every
}

// nearStore is the longest time that a write takes from the store's own region: its answer
// and a few round trips between data centres; from another region it is 66 ms.
const nearStore = 30 * time.Millisecond

// Precedes tells whether one node comes before another for the fleet's singular duties: one in
// the store's region before others, then the one with the larger capacity, then by name.
//
// After a fault that all nodes come back from at once, those of the other region share one
// link for all that they read. A node there took up the duties 2.3 s later than one beside
// the store would have.
func Precedes(a, b *Record) bool {
	return cmp.Or(cmp.Compare(a.distance(), b.distance()), cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Node, b.Node)) < 0
}

// distance ranks nodes by how far the store is.
func (r *Record) distance() int {
	if r.StoreWriteMs > 0 && time.Duration(r.StoreWriteMs)*time.Millisecond <= nearStore {
		return 0
	}
	return 1
}
