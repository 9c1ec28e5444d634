package directory

import "time"

// HasRoom reports whether the node may open another request to the upstream. One has none that says what it takes,
// or that hasn't answered yet.
func (s *Stats) HasRoom(now time.Duration) bool {
	return s.Throttle.Allows(int(s.InFlight.Load()), now)
}

// Open opens a request if the upstream has room; random is a number from 0 to 1. Each opened request must
// be closed.
func (s *Stats) Open(now time.Duration, random float64) bool {
	before := s.InFlight.Add(1) - 1
	if s.Throttle.TryOpen(int(before), now, random) {
		return true
	}
	s.InFlight.Add(-1)
	return false
}

// Close closes a request.
func (s *Stats) Close() { s.InFlight.Add(-1) }
