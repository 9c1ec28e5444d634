package bootclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the instance booted, including suspensions.
type Clock interface {
	Now() time.Duration
}

// System is the CLOCK_BOOTTIME clock of the operating system.
type System struct{}

// Now returns the time since boot. If the kernel lacks the clock, which no supported kernel
// does, it returns zero and rights that depend on it are never extended.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Fake is a clock that tests advance manually. It is safe for concurrent use.
type Fake struct{ now atomic.Int64 }

// Now returns the total time by which the test advanced the clock.
func (f *Fake) Now() time.Duration { return time.Duration(f.now.Load()) }

// WallClock returns a wall clock that advances together with f.
func (f *Fake) WallClock() FakeWallClock { return FakeWallClock{f} }

// FakeWallClock is the wall clock of a Fake.
type FakeWallClock struct{ clock *Fake }

// Now returns a fixed date plus the reading of the fake clock.
func (w FakeWallClock) Now() time.Time { return time.Unix(1e9, 0).Add(w.clock.Now()) }

// Advance advances the clock by d.
func (f *Fake) Advance(d time.Duration) { f.now.Add(int64(d)) }
