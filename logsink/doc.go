// Package logsink writes log lines without ever blocking a request.
//
// Lines go into a fixed-size buffer that one goroutine writes out. When the output is too slow,
// the buffer fills up and further lines are dropped and counted; the count is written with the
// next flush.
package logsink
