// Package allotment carries prepaid's decisions over the store: every node reports its
// use, one node at a time plans the ledger and grants ceilings, every node applies its
// grants.
//
// The planning node is simply the first live one by name; no lease is needed. Two nodes
// that both believe to be it can't both go on: every write of the ledger is fenced by an
// epoch, and a node reads the ledger only after it has fenced off the one before.
package allotment
