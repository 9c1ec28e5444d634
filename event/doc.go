// Package event records what a node decided, as numbered events with hybrid
// logical timestamps, in bounded memory.
//
// The events of all nodes merge into one time line: the hybrid clock follows
// every message between nodes, so that an effect sorts after its cause even when
// wall clocks disagree. docs/EVENTS.md lists the numbers; a test compares it with
// this package.
package event
