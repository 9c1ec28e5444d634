// Package fake puts small in-memory pieces at a node's interfaces, so that several
// real nodes run in one process and any of them can be cut off, paused or killed at
// a chosen step: a peer network, upstreams, and a view of the log for each node.
//
// Time comes from the clock that is passed in. Inside a testing/synctest bubble the
// real clock is virtual, which makes hours of partition cheap and the order of
// timers exact.
package fake
