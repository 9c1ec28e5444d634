// Package relay distributes the log's records from node to node: only one node of each
// region reads the log itself, so that a change crosses the link between regions once.
//
// No node is elected: each node computes its parent, the peer that it reads from, from
// its own view of the members, and reads the log itself while the parent is silent or
// behind.
package relay
