// Package fleet measures the baseline cost of a fleet without client traffic: many
// complete nodes in one process, over real QUIC on loopback and an in-memory log. It also
// measures how fast changes reach all nodes and calls leave a departing upstream.
package fleet
