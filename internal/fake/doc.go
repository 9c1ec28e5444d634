// Package fake implements a node's dependencies in memory, so that several real nodes
// run in one process and any of them can be partitioned, paused or killed at a chosen
// step: a peer network, upstreams, and a view of the log for each node.
//
// Time comes from the clock that is passed in. Inside a testing/synctest bubble the
// real clock is virtual, so that hours of partition take little real time and the order
// of timers is exact.
package fake
