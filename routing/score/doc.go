// Package score predicts when an upstream would answer: pure functions over what a
// node knows of it.
package score
