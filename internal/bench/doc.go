// Package bench puts a seeded open-loop load on a fleet, embedded or by address,
// and measures what it costs; and it measures the slopes from which docs/CAPACITY.md
// computes larger sizes.
//
// Open loop means that requests begin at their drawn times, however slow the fleet
// answers: a fleet that falls behind shows as latency, not as a lower rate.
package bench
