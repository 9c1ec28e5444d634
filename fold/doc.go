// Package fold turns the platform's log into agreement.
//
// The log offers append and read and nothing else. Every node applies the same
// batches in offset order through the same deterministic Parts, so that all
// reach the same verdict on every entry: the first valid claim wins everywhere.
// No Part may look at a clock, a random source or anything but the entries.
package fold
