// Package check proves what the fleet promises: it drives real nodes over the
// fakes, records what callers, upstreams and the log saw, and judges the record.
//
// Harness runs the nodes, History holds the record, Check judges it, and Matrix
// runs one short history for each fault at each step. The judgement never asks a
// node what it believes, except for what it has in force: money is counted from
// the log's records and from what engines produced.
package check
