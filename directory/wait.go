package directory

import (
	"math"
	"time"
)

const (
	// waitFades is the time constant with which a wait that was seen is forgotten. A queue
	// that began to answer on time is believed within some seconds.
	waitFades = 700 * time.Millisecond
	// waitKeeps is the part of the wait seen before that outlives a shorter one: answers of
	// cached prompts overtake others, and say little about the queue.
	waitKeeps = 0.75
)

// RecordResponseStart notes that the answer to a request began after a wait.
func (s *Stats) RecordResponseStart(wait, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstWait, s.firstAt = max(wait, time.Duration(waitKeeps*float64(s.faded(now)))), now
}

// EstimatedWait estimates how long a request waits now until its answer begins: as long as the last
// ones did, and no less than one has waited here while none began. A single long prompt that
// others overtake says nothing of them.
func (s *Stats) EstimatedWait(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.faded(now)
	if len(s.unanswered) > 0 {
		wait = max(wait, now-max(s.unanswered[0], s.firstAt))
	}
	return wait
}

// faded is what is left of the last wait seen. Caller holds mu.
func (s *Stats) faded(now time.Duration) time.Duration {
	return time.Duration(float64(s.firstWait) * math.Exp(-(now-s.firstAt).Seconds()/waitFades.Seconds()))
}
