// Package quarantine keeps requests away from upstreams that would crash under them. It counts the upstreams that
// crashed while they worked on a request, over all attempts of its callers and over all nodes, and tells when the request
// must not be sent any more.
//
// A node counts what crashes under its own requests, tells the other nodes at once, and keeps it in the store for
// those that start later. Callers are told of a failure only after the other nodes were, so that an attempt that
// follows meets nodes that know of it.
package quarantine
