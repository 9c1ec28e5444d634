// Package recordlog is a node's client of the platform's log: Writer batches entries and
// appends one batch at a time (group commit), Follower reads the stream back and applies
// its records to the state.
//
// An entry takes effect only once the Follower has applied it: the response to an append
// can be lost after the append took effect, and an entry that was appended can still lose
// to an earlier claim.
package recordlog
