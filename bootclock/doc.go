// Package bootclock reads the clock that counts from an instance's boot and goes on
// while the instance is suspended.
//
// Go's monotonic clock stands still during a suspension and the time of day may jump,
// so neither can bound a right to spend or a deadline: after a suspension of five
// seconds a monotonic deadline is five seconds too generous. CLOCK_BOOTTIME counts the
// suspension and never jumps.
package bootclock
