// Package upstream speaks to model engines and plain services over HTTP.
//
// Every answer is matched to the request that it was asked for, and counts as
// whole only with its terminal marker: an engine that crosses answers or ends a
// stream early is found out here, before anything wrong reaches a caller.
package upstream
