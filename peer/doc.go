// Package peer implements request-response calls between nodes over QUIC with mutual
// TLS. Every call advances the hybrid logical clocks.
package peer
