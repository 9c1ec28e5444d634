// Package appends runs the part of a fleet that appends to the log, journal writers,
// gatherers and followers, over an in-memory log: to count appends at sizes that whole
// nodes don't fit one process at, and to let tests fail each step of it.
package appends
