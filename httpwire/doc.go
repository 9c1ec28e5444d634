// Package httpwire is an HTTP/1.1 client with pooled connections that never resends a request.
//
// Common clients resend some requests when a pooled connection turns out to be broken. Calls
// that must run at most once can't use them, and neither could a fleet-wide limit on retries be
// enforced. This client sends once, and its error tells whether anything was sent. Parsing and
// framing are those of net/http.
//
// A pooled connection may hold bytes that belong to no request: a second response to the
// previous one. They are checked for before a connection is reused, and a response that doesn't
// match the request is skipped.
package httpwire
