// Package tlskeys makes and loads the keys for mutual TLS between nodes: one
// authority for the fleet, one certificate per node.
package tlskeys
