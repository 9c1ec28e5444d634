// Package devfleet runs a small fleet in one process, with simulated platform services and
// upstreams, for the development command, benchmarks and tests.
package devfleet
