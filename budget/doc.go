// Package budget divides prepaid budgets into shares and lets each node incarnation spend only
// its own.
//
// Ledger is the replicated state: what was prepaid, what no node holds (the pool), and what
// each incarnation was granted and has settled. ShareHolder is the local side of one node: it
// reserves a request's worst case from the node's shares before dispatch, without a lock or a
// message, and releases the unused rest afterwards.
//
// Invariant: for each budget, prepaid = pool + Σ granted + what incarnations since released
// spent + what was written off, and each incarnation reserves at most what it was granted. So
// the fleet can't spend more than was prepaid, whatever the network partitions.
package budget
