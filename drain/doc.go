// Package drain decides which requests a node still accepts during a graceful shutdown: those
// that will end before the node does.
package drain
