// Package placement chooses the upstream for a request: filter those that may take it,
// score each by the time until it would answer, pick the best.
//
// The decision is pure over a Query and what the node knows of each upstream; it reads
// no socket and no clock of its own.
package placement
