// Package gather saves appends to the platform's log: the nodes of a data centre hand
// their batches to one of them, which appends many as one record.
//
// Which one is chosen by each node for itself, from its own view of the members.
// Nobody need agree on it: any node may gather, several may at once, and what one of
// them does with a batch that its writer has appended itself meanwhile is void by the
// batch's sequence.
package gather
