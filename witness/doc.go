// Package witness replicates a node's open requests into the memory of other nodes.
//
// Replicator reports each request to a witness before dispatch, and its end afterwards;
// Store holds what other nodes reported. After a node has died its requests are settled
// from there. Both are bounded: an entry is removed once its settlement is in the log,
// which both sides fold.
package witness
