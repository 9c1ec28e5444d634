package directory

import (
	"math/rand/v2"
	"time"

	"lavenderpin.dev/lavenderpin/throttle"
)

// RampPolicy tells whether an upstream is ramped up, and with what; false if not.
type RampPolicy func(Entry) (throttle.RampStart, bool)

// beginRamp begins the ramp of an upstream that started. Those of the first full read may have started long ago. The
// caller must hold mu.
func (t *Table) beginRamp(u *Upstream) {
	if t.Ramp == nil || !t.hasSynced() || u.State != Ready {
		return
	}
	if start, ok := t.Ramp(u.Entry); ok {
		u.Throttle.BeginRamp(start, t.clock.Now(), rand.Float64())
	}
}

func (t *Table) hasSynced() bool {
	select {
	case <-t.synced:
		return true
	default:
		return false
	}
}

// HasRoomFor is like HasRoom; beyondRamp is set for a request that no other upstream can take, which a ramp doesn't limit.
func (s *Stats) HasRoomFor(beyondRamp bool, now time.Duration) bool {
	if beyondRamp {
		return s.Throttle.AllowsBeyondRamp(int(s.InFlight.Load()), now)
	}
	return s.HasRoom(now)
}

// OpenBeyondRamp is like Open for a request that no other upstream can take.
func (s *Stats) OpenBeyondRamp(now time.Duration, random float64) bool {
	before := s.InFlight.Add(1) - 1
	if s.Throttle.OpenBeyondRamp(int(before), now, random) {
		return true
	}
	s.InFlight.Add(-1)
	return false
}
