// Package fold implements the replicated state machine that all nodes run over the platform's
// log.
//
// The log supports only append and read. Every node applies the same batches in offset order
// through the same deterministic Parts, so that all reach the same verdict on every entry: the
// first valid claim wins on every node. A Part must depend on nothing but the entries: no
// clock, no random source.
package fold
