package bootclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells how long ago the instance booted, suspensions included.
type Clock interface {
	Now() time.Duration
}

// System is the instance's own clock.
type System struct{}

// Now returns the time since boot. Where the kernel doesn't know the clock, which no
// supported kernel does, it returns zero and rights that need it are never extended.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Fake is a clock that tests move by hand. It is safe for concurrent use.
type Fake struct{ now atomic.Int64 }

// Now returns the time that the test set.
func (f *Fake) Now() time.Duration { return time.Duration(f.now.Load()) }

// WallClock returns a time of day that goes on along with the clock.
func (f *Fake) WallClock() FakeWallClock { return FakeWallClock{f} }

// FakeWallClock is the time of day of a Fake.
type FakeWallClock struct{ clock *Fake }

// Now returns a fixed date plus the clock's reading.
func (t FakeWallClock) Now() time.Time { return time.Unix(1e9, 0).Add(t.clock.Now()) }

// Advance moves the clock forward.
func (f *Fake) Advance(d time.Duration) { f.now.Add(int64(d)) }
