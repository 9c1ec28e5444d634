// Package membership tracks which nodes of the fleet are alive, draining or gone,
// which addresses callers should use, and which upstreams are leaving.
//
// Each node pings a few neighbours in turn and gossips updates, so its traffic grows
// with the logarithm of the fleet size. Table holds the state machine and does no I/O;
// Members drives it.
package membership
