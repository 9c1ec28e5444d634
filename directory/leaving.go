package directory

import "time"

// successor holds the statistics that replace others for the same ID.
type successor struct {
	*Stats
	// restarted is false if the incarnation is the same, under a new address or service.
	restarted bool
}

// RecordLeaving records that this incarnation of the upstream announced that it leaves. It reports
// whether that is new.
func (s *Stats) RecordLeaving() bool {
	isNew := !s.leaving.Swap(true)
	if next := s.successor.Load(); next != nil && !next.restarted {
		next.RecordLeaving()
	}
	return isNew
}

// Leaving reports whether this incarnation of the upstream announced that it leaves, whatever its
// entry says.
func (s *Stats) Leaving() bool { return s.leaving.Load() }

// Accepts reports whether the upstream wants new requests: it neither leaves nor asked for a pause.
func (s *Stats) Accepts(now time.Duration) bool { return !s.Leaving() && !s.Paused(now) }

// succeed returns the statistics that replace s. A pause goes on even after a restart: the node may
// not know yet which incarnation asked for it. So does a limit until an answer names none, since what
// brought the upstream into need may last.
func (s *Stats) succeed(restarted bool) *Stats {
	next := &Stats{}
	s.successor.Store(&successor{next, restarted}) // before the rest is read, so that nothing recorded meanwhile is missed
	next.extendPause(time.Duration(s.pausedUntil.Load()))
	next.Throttle.InheritLimit(&s.Throttle)
	if !restarted {
		next.leaving.Store(s.leaving.Load() || next.leaving.Load())
		next.coldUntil.Store(s.coldUntil.Load())
	}
	return next
}
