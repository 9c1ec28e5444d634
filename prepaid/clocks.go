package prepaid

import (
	"time"

	"lavenderpin.dev/lavenderpin/bootclock"
)

// Clocks are the two clocks that bound what an incarnation may use.
type Clocks struct {
	// Boot counts from the instance's boot. It continues through suspends and never jumps, but
	// restarts after a power loss.
	Boot bootclock.Clock
	// Wall survives a power loss, but may jump by seconds.
	Wall WallClock
}

// WallClock is an instance's wall clock.
type WallClock interface{ Now() time.Time }

// ClockReading is a simultaneous reading of both clocks.
type ClockReading struct {
	// Boot is the time since boot.
	Boot time.Duration
	// Wall is the wall-clock time since 1970.
	Wall time.Duration
}

func (c Clocks) Read() ClockReading {
	return ClockReading{Boot: c.Boot.Now(), Wall: time.Duration(c.Wall.Now().UnixNano())}
}

// elapsedSince returns the time elapsed since an earlier reading on the same boot, by the clock
// that shows less. With the larger value, a wall clock that was set back would make earlier use
// look as if it had not been possible yet.
func (r ClockReading) elapsedSince(earlier ClockReading) time.Duration {
	return max(0, min(r.Boot-earlier.Boot, r.Wall-earlier.Wall))
}
