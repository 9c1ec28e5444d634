package directory

import "time"

// RecordPause records that the upstream wants no requests until the given time. Neither a
// successful response nor a request for a shorter pause ends it earlier. A response to a former
// incarnation also counts for the later ones.
func (s *Stats) RecordPause(until time.Duration) {
	s.extendPause(until)
	if next := s.successor.Load(); next != nil {
		next.RecordPause(until)
	}
}

func (s *Stats) extendPause(until time.Duration) {
	for {
		current := s.pausedUntil.Load()
		if current >= int64(until) || s.pausedUntil.CompareAndSwap(current, int64(until)) {
			return
		}
	}
}

// PauseLeft returns how long the upstream wants no requests; zero if it takes them.
func (s *Stats) PauseLeft(now time.Duration) time.Duration {
	return max(0, time.Duration(s.pausedUntil.Load())-now)
}

// Paused reports whether the upstream wants no requests now.
func (s *Stats) Paused(now time.Duration) bool { return s.PauseLeft(now) > 0 }
