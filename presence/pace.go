package presence

import (
	"slices"
	"time"
)

const (
	// leastEvery is the shortest interval of a node's records: a dead node is noticed
	// after five of them.
	leastEvery = 500 * time.Millisecond
	// perNode lengthens the interval with the fleet, so that all nodes together write no
	// more than 200 records a second.
	perNode = 5 * time.Millisecond
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

// Every returns the interval at which a node should write its own record.
func Every(live []Record, own Record) time.Duration {
	every := max(leastEvery, time.Duration(len(live))*perNode)
	if !named(live, own) {
		return max(every, quietEvery)
	}
	return every
}

// Senior returns the node that has the fleet's singular duties: the one with the largest
// capacity, and the first by name among equals. False if there is none.
func Senior(active []Record) (Record, bool) {
	var senior Record
	for _, r := range active {
		if senior.Node == "" || r.Capacity > senior.Capacity || r.Capacity == senior.Capacity && r.Node < senior.Node {
			senior = r
		}
	}
	return senior, senior.Node != ""
}
