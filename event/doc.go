// Package event records the decisions of a node as numbered events with hybrid
// logical timestamps, in bounded memory.
//
// The events of all nodes can be merged into one timeline: the hybrid logical clock is
// advanced by every message between nodes, so that an effect sorts after its cause even
// if wall clocks disagree. docs/EVENTS.md lists the numbers; a test compares it with
// this package.
package event
