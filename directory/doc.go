// Package directory tracks the upstreams that registered themselves: which of them serve, which
// are leaving, and the statistics that this node gathered about each from its own requests.
//
// Readers take an immutable Snapshot with one atomic load. Values that change with every
// request are in each upstream's Stats, which outlive a snapshot.
package directory
