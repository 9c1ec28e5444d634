// Package routing chooses the upstream for a request: filter, score, pick.
//
// A Balancer keeps, for each service, a read-copy-update table of its upstreams with
// their own counters. A pick drops the upstreams that may not take the request,
// predicts for a few of the rest when the first token would come, and takes the
// best. It allocates nothing and takes no lock.
//
// What it knows comes late or not at all: load reports lag, cache events have gaps,
// and other nodes pick at the same time. So a report counts for less the older it
// is, the node's own sends count at once, and the choice is among a random few,
// never the best of all, which every node would choose at the same moment.
package routing
