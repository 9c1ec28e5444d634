// Package snapshot writes the folded state into the log again before its records
// age out, and finds it there.
//
// A snapshot is a row of chunks, each in an entry of its own. Chunks of several
// writers may interleave, a writer may die between two of its chunks, and a chunk
// may be corrupt: only a row that is complete, whose checksum holds and whose
// following records are all still kept is used.
package snapshot
