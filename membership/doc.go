// Package membership tells which nodes of the fleet are alive, leaving or gone,
// which addresses callers should use, and which upstreams leave.
//
// Each node pings a few neighbours in turn and passes news on, so what it sends
// grows with the logarithm of the fleet. Table holds the decisions and no I/O;
// Members drives it.
package membership
