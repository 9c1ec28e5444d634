// Package eventstream reads a stream of server-sent events one whole event at a time.
//
// A stream that is cut within an event must not hand the part on: a caller would take
// it for the whole event, and a stream that resumes would repeat it.
package eventstream
