// Package upstream is the HTTP client for model engines and plain services.
//
// Every response is matched to its request and counts as complete only with its terminal
// marker: an engine that mixes up responses or ends a stream early is detected here, before
// wrong data reaches a caller.
package upstream
