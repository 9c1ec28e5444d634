// Package directory knows the upstreams that registered themselves: which serve, which
// are leaving, and what this node learned of each from its own requests.
//
// Readers take an immutable Snapshot with one atomic load. What changes by the request
// stands in each upstream's Stats, which outlive a snapshot.
package directory
