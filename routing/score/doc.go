// Package score predicts an upstream's time to first token, with pure functions over the
// node's state of it.
package score
