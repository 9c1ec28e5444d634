package directory

// RecordDenied records that the process at the upstream's address says that it is another incarnation than the one of the
// entry. That holds until the entry is replaced by that incarnation's.
func (s *Stats) RecordDenied() { s.denied.Store(true) }

// IsDenied reports whether another incarnation than the one of the entry is there.
func (s *Stats) IsDenied() bool { return s.denied.Load() }
