package presence

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minInterval is the shortest interval between a node's records: a dead node is detected
	// after five of them.
	minInterval = 500 * time.Millisecond
	// intervalPerListed lengthens the interval with the number of nodes whose addresses are given
	// to callers, up to maxListedInterval, so that up to 160 of them together write at most about
	// 80 records a second.
	intervalPerListed = 12 * time.Millisecond
	maxListedInterval = 2 * time.Second
	// unlistedInterval is the interval of the other nodes: nobody waits for news of them.
	// intervalPerUnlisted lengthens it, so that all of them together write at most about 50 records
	// a second: each node reads them all.
	unlistedInterval    = 2 * time.Second
	intervalPerUnlisted = 20 * time.Millisecond
)

// IsListed reports whether a node's address is always given to callers in its region while it is
// ready.
func IsListed(live []Record, own Record) bool {
	sameRegion := []Record{own}
	for _, r := range live {
		if r.Region == own.Region && r.Node != own.Node {
			sameRegion = append(sameRegion, r)
		}
	}
	large, _ := splitBySize(sameRegion)
	return slices.ContainsFunc(large, func(r Record) bool { return r.Node == own.Node })
}

// CountListed returns how many nodes' addresses are always given to callers of their region.
func CountListed(live []Record) int {
	regions := make(map[string][]Record)
	for _, r := range live {
		regions[r.Region] = append(regions[r.Region], r)
	}
	count := 0
	for _, region := range regions {
		large, _ := splitBySize(region)
		count += len(large)
	}
	return count
}

// RecordInterval returns the interval at which a node should write its own record.
func RecordInterval(live []Record, own Record) time.Duration {
	listed := CountListed(live)
	if !IsListed(live, own) {
		return max(unlistedInterval, time.Duration(len(live)-listed)*intervalPerUnlisted)
	}
	return max(minInterval, min(maxListedInterval, time.Duration(listed)*intervalPerListed))
}

// maxNearWriteTime is the longest time that a write takes from the store's own region: the
// store's response and a few round trips between data centres. From another region a write takes
// 66 ms.
const maxNearWriteTime = 30 * time.Millisecond

// Precedes reports whether node a comes before node b in the order in which nodes take on the
// fleet's singleton tasks: nodes in the store's region first, then by larger capacity, then by
// name.
//
// After a fault from which all nodes recover at once, the nodes of the other region share one
// link for everything they read. A node there took on the tasks 2.3 s later than a node near the
// store would have.
func Precedes(a, b *Record) bool {
	return cmp.Or(cmp.Compare(a.storeDistance(), b.storeDistance()), cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Node, b.Node)) < 0
}

// storeDistance ranks nodes by their distance from the store.
func (r *Record) storeDistance() int {
	if r.StoreWriteMs > 0 && time.Duration(r.StoreWriteMs)*time.Millisecond <= maxNearWriteTime {
		return 0
	}
	return 1
}
