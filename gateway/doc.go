// Package gateway runs the life of one request: match its route, authenticate, set its
// tokens aside, choose an upstream, send, pass the answer on whole, settle.
//
// What it promises a caller: an answer that looks whole is whole and the upstream's own;
// a refusal that says "not run" is true; a request that must run at most once is sent
// again only after an upstream said that it didn't run it, or before anything was sent.
//
// The package decides and moves bytes between two interfaces, Upstreams and Sink; it
// knows neither the headers of the wire nor the store.
package gateway
