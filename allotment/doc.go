// Package allotment runs prepaid's allocation over the store: every node reports its use, one
// node at a time plans the ledger and grants ceilings, and every node applies its grants.
//
// The planner is the first live node by name; no lease is needed. Two nodes that both believe
// to be the planner can't both proceed: every ledger write is fenced by an epoch, and a node
// reads the ledger only after it has fenced off the previous planner.
package allotment
