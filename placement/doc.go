// Package placement chooses the upstream for a request: filter the eligible ones, score each by
// its expected time to answer, and pick the best.
//
// The decision depends only on a Request and the node's state of each upstream and prompt
// cache; the package does no I/O and reads no clock.
package placement
