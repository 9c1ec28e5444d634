// Package lease implements leases on top of the log: their replicated state, and a manager that
// acquires and renews them for this node.
//
// Leases protect the jobs that only one node of the fleet may do at a time: writing snapshots,
// sending orders to engines, dividing the weight store's rate. The epoch of a lease increases
// with each holder and serves as the fencing token.
package lease
