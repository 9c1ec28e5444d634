// Package gateway handles one request from start to end: it matches a route, authenticates the
// caller, reserves tokens, selects an upstream, sends the request, forwards the response and
// settles the tokens used.
//
// Guarantees to the caller: a response that looks complete is complete and comes unmodified from
// the upstream; an error that says "not run" is true; a request that must run at most once is
// retried only after an upstream reported that it did not run it, or when nothing had been sent.
//
// The package decides and moves bytes between two interfaces, Upstreams and Sink. It depends on
// neither the headers on the wire nor the store.
package gateway
