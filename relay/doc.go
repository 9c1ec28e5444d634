// Package relay brings the log's records to every node while the log itself is read
// by one node of each region only, so that a change crosses the link between regions
// once.
//
// Nobody is appointed: each node works out from its own view of the members whom it
// reads from, and falls back to the log by itself when that peer is silent or behind.
package relay
