// Package membership tells which nodes of the fleet are alive, leaving or gone,
// and which addresses callers should use.
package membership
