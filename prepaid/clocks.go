package prepaid

import (
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

// Clocks are the two readings that bound what an incarnation may use.
type Clocks struct {
	// Boot counts from the instance's boot. It goes on through suspensions and never
	// jumps, but after a power loss it starts anew.
	Boot bootclock.Clock
	// Wall outlives a power loss, and may jump by seconds.
	Wall WallClock
}

// WallClock is an instance's time of day.
type WallClock interface{ Now() time.Time }

// ClockReading is one reading of both clocks.
type ClockReading struct {
	// Boot is the boot clock.
	Boot time.Duration
	// Wall is the time since 1970 by the instance's time of day.
	Wall time.Duration
}

// Read reads both clocks.
func (c Clocks) Read() ClockReading {
	return ClockReading{Boot: c.Boot.Now(), Wall: time.Duration(c.Wall.Now().UnixNano())}
}

// since returns the time that passed since an earlier reading on the same boot by the
// clock that shows less. Were the larger one taken, a time of day that was set back would
// make the use before it look as if it hadn't been possible yet.
func (r ClockReading) since(earlier ClockReading) time.Duration {
	return max(0, min(r.Boot-earlier.Boot, r.Wall-earlier.Wall))
}
