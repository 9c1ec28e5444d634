// Package budget splits prepaid budgets into shares and lets each node incarnation
// spend only its own.
//
// Ledger is the folded truth: what was prepaid, what no node holds (the pool),
// what each incarnation was granted and has settled. Holder is one node's own
// side: it reserves a request's worst case out of the node's shares before
// dispatch, without a lock or a message, and gives the rest back afterwards.
//
// Invariant: for each budget, prepaid = pool + Σ granted + what incarnations since
// released spent + what was written off, and each incarnation reserves at most what
// it was granted. So the spend of the fleet can't exceed
// what was prepaid, whatever is cut off from whatever.
package budget
