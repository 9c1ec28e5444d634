// Package peer carries exchanges between nodes: one request and one response,
// over QUIC with mutual TLS. Every exchange moves the hybrid logical clocks.
package peer
