// Package logsink writes log lines without ever making a request wait for them.
//
// Lines go into a buffer of a fixed size that one goroutine writes out. When the reader
// of the output is too slow the buffer fills, and further lines are dropped and counted;
// the count is written as soon as there is room again.
package logsink
