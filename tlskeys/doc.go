// Package tlskeys issues and loads the certificates for mutual TLS between nodes: one
// certificate authority per fleet, one certificate per node.
package tlskeys
