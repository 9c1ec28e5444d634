// Package httpwire is an HTTP/1.1 client over kept connections that never sends a
// request twice.
//
// The usual clients send some requests again when a kept connection turns out to be
// broken. A call that must run at most once can't go through them, and neither can a
// fleet-wide bound on repeats be kept. This client sends once, and tells in its error
// whether anything was sent. Parsing and framing are net/http's.
//
// A kept connection may hold bytes that belong to no request: a second answer to the one
// before. They are looked for before a connection is used again, and an answer that
// doesn't carry the request's own mark is passed over.
package httpwire
