package directory

import (
	"math"
	"time"
)

const (
	// waitDecayTime is the time constant with which an observed wait decays. A queue that
	// starts responding on time again is trusted within some seconds.
	waitDecayTime = 700 * time.Millisecond
	// waitRetention is the fraction of the previous wait that remains after a shorter one:
	// responses to cached prompts overtake others, and say little about the queue.
	waitRetention = 0.75
)

// RecordResponseStart records that the response to a request started after the given wait.
func (s *Stats) RecordResponseStart(wait, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseWait, s.responseStartedAt = max(wait, time.Duration(waitRetention*float64(s.decayedWait(now)))), now
}

// EstimatedWait estimates how long a request sent now waits until its response starts: as long
// as the last observed waits, and at least as long as a request has been waiting here without
// any response starting. A single long prompt that others overtake says nothing about them.
func (s *Stats) EstimatedWait(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.decayedWait(now)
	if len(s.unanswered) > 0 {
		wait = max(wait, now-max(s.unanswered[0], s.responseStartedAt))
	}
	return wait
}

// decayedWait returns what remains of the last observed wait. The caller must hold mu.
func (s *Stats) decayedWait(now time.Duration) time.Duration {
	return time.Duration(float64(s.responseWait) * math.Exp(-(now-s.responseStartedAt).Seconds()/waitDecayTime.Seconds()))
}
