// Package routing chooses the upstream for a request: filter, score, pick.
//
// A Balancer keeps a read-copy-update table of the upstreams of each service, with counters
// for each upstream. A pick filters out the upstreams that can't serve the request, predicts
// the time to first token for a few of the others, and takes the best. It allocates nothing
// and takes no lock.
//
// Its information is late or incomplete: load reports lag, cache events have gaps, and other
// nodes pick at the same time. So a report loses weight as it ages, the node's own requests
// count immediately, and the choice is among a few random upstreams, never the best of all,
// which every node would choose at the same moment.
package routing
