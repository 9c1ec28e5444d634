package directory

import (
	"slices"
	"time"
)

// RecordSent notes that a request was sent to the upstream.
func (s *Stats) RecordSent(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = append(s.unanswered, now)
}

// RecordSettled notes that a request which was sent at a time isn't waited for any more.
func (s *Stats) RecordSettled(sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.unanswered, sent); at >= 0 {
		s.unanswered = slices.Delete(s.unanswered, at, at+1)
	}
}

// RecordReceived notes that something came from the upstream.
func (s *Stats) RecordReceived(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt = max(s.heardAt, now)
}

// ReceivedWithin tells whether anything came from the upstream within a time.
func (s *Stats) ReceivedWithin(d, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heardAt != 0 && now-s.heardAt < d
}

// Silence returns for how long a request has been waiting while nothing at all came from
// the upstream. A busy upstream answers others meanwhile; a dark one is silent to all.
func (s *Stats) Silence(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unanswered) == 0 {
		return 0
	}
	return max(0, now-max(s.heardAt, s.unanswered[0]))
}
