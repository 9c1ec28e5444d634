// Package bench runs a seeded open-loop load against a fleet, embedded or given by address,
// and measures its cost. Its subpackage capacity measures the slopes, or unit costs, from
// which docs/CAPACITY.md computes larger sizes.
//
// Open loop means that requests start at their drawn times, however slowly the fleet
// answers: a fleet that falls behind shows up as latency, not as a lower rate.
package bench
