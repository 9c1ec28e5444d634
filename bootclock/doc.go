// Package bootclock reads the time since an instance booted, which includes the time that
// the instance was suspended.
//
// Go's monotonic clock stops during a suspension and the wall clock may jump, so neither
// can bound a spend right or a deadline: after a suspension of five seconds, a monotonic
// deadline expires five seconds late. CLOCK_BOOTTIME includes suspensions and never jumps.
package bootclock
