// Package eventstream reads a stream of server-sent events, one complete event at a time.
//
// If a stream is cut within an event, the partial event must not be passed on: a caller
// would take it for a complete event, and a resumed stream would repeat it.
package eventstream
