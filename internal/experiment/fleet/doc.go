// Package fleet measures what a fleet costs by itself: many whole nodes in one
// process, over real QUIC on loopback and an in-memory log, with no callers.
package fleet
