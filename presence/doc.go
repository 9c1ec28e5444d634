// Package presence tracks which nodes of the fleet serve, from the record that each node writes
// about itself at most twice a second.
//
// A silent node counts as gone only while the store can be read: when the store is unreachable
// no node is heard from, and callers must still be able to find the nodes.
package presence
