// Package snapshot encodes snapshots of the state for the log, decides when one is due
// before the log's records age out, and finds them in the log.
//
// A snapshot is a sequence of chunks, each in an entry of its own. Chunks of several
// writers may interleave, a writer may die between two of its chunks, and a chunk may be
// corrupt: a snapshot is used only if it is complete, its checksum matches, and all
// records after it are still kept.
package snapshot
