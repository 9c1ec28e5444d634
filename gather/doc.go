// Package gather reduces the appends to the platform's log: the nodes of a data centre
// forward their batches to one of them, the gatherer, which appends many as one record.
//
// Each node chooses its gatherer from its own view of the members. No agreement is
// needed: any node may gather, several may at once, and when both a gatherer and the
// writer itself append a batch, its sequence number voids the second copy.
package gather
