package directory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failureWindow is the time constant with which failures are forgotten; an
	// upstream that failed a few times is tried again with a tenth of its suspicion
	// after about three times this.
	failureWindow = 4 * time.Second
	// failureWeight is what one failure adds to the failure estimate: two in a row
	// outweigh a queue of any usual length.
	failureWeight = 0.35
	// successKeeps is the part of the failure estimate that outlives a whole answer:
	// after three in a row half of it is left, so that an upstream that fails two
	// requests in five stays suspect.
	successKeeps = 0.8
)

// Stats is what this node learned of one incarnation of an upstream from its own
// requests. It is safe for concurrent use.
type Stats struct {
	// InFlight counts this node's open requests, PromptInFlight the prompt tokens of
	// those that have not answered yet.
	InFlight, PromptInFlight atomic.Int64

	mu         sync.Mutex
	running    int
	waiting    int
	loadAt     time.Duration
	failure    float64
	failureAt  time.Duration
	darkUntil  time.Duration
	darkInARow int
	// unanswered holds when each request was sent that nothing came back for yet, the oldest
	// first; heardAt is when anything last came from the upstream.
	unanswered []time.Duration
	heardAt    time.Duration
	// firstWait is how long the last first answer took, as of firstAt.
	firstWait, firstAt time.Duration
}

// Load is what an upstream last told of its load.
type Load struct {
	Running, Waiting int
	// At is the boot clock when it was told; zero if never.
	At time.Duration
}

// ObserveLoad keeps what an answer told of the upstream's load.
func (s *Stats) ObserveLoad(running, waiting int, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running, s.waiting, s.loadAt = running, waiting, now
}

// Load returns the last load told.
func (s *Stats) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.running, Waiting: s.waiting, At: s.loadAt}
}

// RecordFailure counts a request that the upstream spoiled: an error, a broken answer, silence.
func (s *Stats) RecordFailure(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.failure += failureWeight
}

// RecordSuccess counts a whole answer.
func (s *Stats) RecordSuccess(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.failure *= successKeeps
	s.darkInARow = 0
	s.darkUntil = 0
}

// RecordUnreachable counts a connection that could not be made or a request that nothing came
// back for. Each one in a row doubles the time for which the upstream is left alone,
// from darkFirst to darkMost.
func (s *Stats) RecordUnreachable(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.failure += failureWeight
	pause := min(darkMost, darkFirst<<min(s.darkInARow, 4))
	s.darkInARow++
	s.darkUntil = now + pause
}

const (
	// darkFirst is the pause after one failed connection: long enough that the other
	// requests of that moment go elsewhere.
	darkFirst = 500 * time.Millisecond
	// darkMost bounds the pause, so that an upstream that came back is used again
	// within the time that callers keep trying.
	darkMost = 3 * time.Second
)

// InBackoff tells whether the upstream should be left alone now.
func (s *Stats) InBackoff(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.darkUntil
}

// FailureScore estimates how likely the next request fails, from zero up.
func (s *Stats) FailureScore(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.failure
}

func (s *Stats) decay(now time.Duration) {
	if passed := now - s.failureAt; passed > 0 {
		s.failure *= math.Exp(-passed.Seconds() / failureWindow.Seconds())
	}
	s.failureAt = now
}
