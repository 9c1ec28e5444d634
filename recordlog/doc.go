// Package recordlog is a node's side of the platform's log: Writer gathers entries
// into one append at a time (group commit), Follower reads the stream back and
// folds it.
//
// An entry counts only once the Follower has folded it: the answer to an append
// can be lost after the append took effect, and an append that seemed to succeed
// can still lose against an earlier claim.
package recordlog
