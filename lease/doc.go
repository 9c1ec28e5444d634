// Package lease folds leases out of the log and keeps those that this node holds.
//
// Leases are for the few singular jobs of the fleet: writing snapshots, giving
// engine orders, dividing the weight store's rate. A lease has an epoch that rises
// with each holder, which serves as the fencing number.
package lease
