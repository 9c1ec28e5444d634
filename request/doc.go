// Package request handles a request from authentication to settlement: it reserves the
// budget, picks an upstream, dispatches, delivers the complete answer and settles.
package request
