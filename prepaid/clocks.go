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
	// TimeOfDay outlives a power loss, and may jump by seconds.
	TimeOfDay TimeOfDay
}

// TimeOfDay is an instance's time of day.
type TimeOfDay interface{ Now() time.Time }

// Reading is one reading of both clocks.
type Reading struct {
	// Boot is the boot clock.
	Boot time.Duration
	// TimeOfDay is the time since 1970 by the instance's time of day.
	TimeOfDay time.Duration
}

// Read reads both clocks.
func (c Clocks) Read() Reading {
	return Reading{Boot: c.Boot.Now(), TimeOfDay: time.Duration(c.TimeOfDay.Now().UnixNano())}
}

// since returns the time that passed since an earlier reading on the same boot by the
// clock that shows less. Were the larger one taken, a time of day that was set back would
// make the use before it look as if it hadn't been possible yet.
func (r Reading) since(earlier Reading) time.Duration {
	return max(0, min(r.Boot-earlier.Boot, r.TimeOfDay-earlier.TimeOfDay))
}
