package directory

import "time"

const (
	// slowdownPeriod is how long a reported slow-down of work holds: neighbours on an upstream's machine change
	// every 0.6 s.
	slowdownPeriod = 600 * time.Millisecond
	// slowdownTTL is how long an upstream counts as one that reports slow-downs while its reports lack a usable
	// one: longer than a few garbled headers, and no longer than a change of its configuration should take.
	slowdownTTL = 10 * time.Second
)

// LoadReport is the load that an upstream reports in a response.
type LoadReport struct {
	// Running and Waiting count requests of all nodes.
	Running, Waiting int
	// Slots is how many requests the upstream runs at once; zero if it isn't reported.
	Slots int
	// Slowdown is how long work takes now, 1 being normal; zero if it isn't reported.
	Slowdown float64
}

// Load is the last load that an upstream reported.
type Load struct {
	LoadReport
	// Own is how many of the requests were open at this node at the time of the report.
	Own int
	// At is the boot clock time of the report; zero if there was none.
	At time.Duration
	// SlowdownAt is the time of the last report with a usable slow-down; zero if there was none lately.
	SlowdownAt time.Duration
	// slowdownMissedAt is the time of the first report without a usable slow-down since then; zero if there was none.
	slowdownMissedAt time.Duration
}

// ReportsSlowdown reports whether the upstream reports how much its work is slowed down, as those do that share
// machines with others.
func (l *Load) ReportsSlowdown() bool { return l.SlowdownAt != 0 }

// SlowdownNow estimates how long work takes now, 1 being normal. A report tells less of the present with each moment: the
// part of it that still holds falls evenly to nothing over the period in which the slow-down changes.
func (l *Load) SlowdownNow(now time.Duration) float64 {
	if l.Slowdown == 0 || l.SlowdownAt == 0 {
		return 1
	}
	holds := 1 - min(1, max(0, float64(now-l.SlowdownAt)/float64(slowdownPeriod)))
	return 1 + (l.Slowdown-1)*holds
}

// ObserveLoad stores a report of running and waiting requests alone.
func (s *Stats) ObserveLoad(running, waiting int, now time.Duration) {
	s.ObserveReport(LoadReport{Running: running, Waiting: waiting}, now)
}

// ObserveReport stores the load that a response reported. What the report lacks stays as it was reported before, a
// slow-down for slowdownTTL.
func (s *Stats) ObserveReport(r LoadReport, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.load
	s.load = Load{LoadReport: r, Own: int(s.InFlight.Load()), At: now, SlowdownAt: now}
	if r.Slots == 0 {
		s.load.Slots = last.Slots
	}
	if r.Slowdown == 0 {
		s.load.Slowdown, s.load.SlowdownAt, s.load.slowdownMissedAt = last.Slowdown, last.SlowdownAt, last.slowdownMissedAt
		switch {
		case last.slowdownMissedAt == 0:
			s.load.slowdownMissedAt = now
		case now-last.slowdownMissedAt > slowdownTTL:
			s.load.Slowdown, s.load.SlowdownAt = 0, 0
		}
	}
	s.Throttle.SetRampReported(s.load.ReportsSlowdown())
}

// Load returns the last reported load.
func (s *Stats) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// ReportsSlowdown reports whether the upstream reports how much its work is slowed down.
func (s *Stats) ReportsSlowdown() bool {
	load := s.Load()
	return load.ReportsSlowdown()
}
