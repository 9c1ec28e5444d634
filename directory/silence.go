package directory

import (
	"slices"
	"time"
)

// RecordSent records that a request was sent to the upstream.
func (s *Stats) RecordSent(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = append(s.unanswered, now)
}

// RecordSettled records that the request sent at the given time is no longer awaited.
func (s *Stats) RecordSettled(sent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.unanswered, sent); at >= 0 {
		s.unanswered = slices.Delete(s.unanswered, at, at+1)
	}
}

// RecordReceived records that data was received from the upstream.
func (s *Stats) RecordReceived(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedAt = max(s.receivedAt, now)
}

// ReceivedWithin reports whether data was received from the upstream within the window.
func (s *Stats) ReceivedWithin(window, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.receivedAt != 0 && now-s.receivedAt < window
}

// Silence returns how long a request has been waiting while nothing at all was received from
// the upstream. A busy upstream answers other requests meanwhile; an unresponsive one answers
// none.
func (s *Stats) Silence(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unanswered) == 0 {
		return 0
	}
	return max(0, now-max(s.receivedAt, s.unanswered[0]))
}
