// Package check tests the fleet's guarantees under faults: it runs real nodes over the
// fakes, records what callers, upstreams and the log observe, and checks the record.
//
// Harness runs the nodes, History and Record hold the observations, Check finds the violated
// invariants, and Singles and Pairs list the cells of the fault matrix, each one short
// history with faults at given steps. The checks never trust a node's own state, except for
// what it has in force: money is counted from the log's records and from what the engines
// produced.
package check
