// Package daemon runs one node as a process: listeners, TLS, graceful shutdown, and a new
// incarnation in place of one that the fleet closed.
package daemon
