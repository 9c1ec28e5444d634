package directory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lavenderpin.dev/lavenderpin/throttle"
)

const (
	// failureWindow is the time constant with which failures decay. After about three times
	// this, a tenth of the score of an upstream that failed a few times is left, and it is
	// tried again.
	failureWindow = 4 * time.Second
	// failureWeight is what one failure adds to the failure score: two in a row outweigh a
	// queue of any usual length.
	failureWeight = 0.35
	// successRetention is the fraction of the failure score that remains after a complete
	// response: after three in a row half of it is left, so that an upstream that fails two
	// requests in five stays suspect.
	successRetention = 0.8
)

// Stats holds what this node observed of one incarnation of an upstream in its own requests. It
// is safe for concurrent use.
type Stats struct {
	// InFlight counts this node's open requests, PromptInFlight the prompt tokens of those
	// without a response so far.
	InFlight, PromptInFlight atomic.Int64

	// heldTokens counts the tokens, output included, that this node's open requests may use in the upstream's memory.
	heldTokens atomic.Int64

	// Throttle limits the requests to an upstream by what it says of itself.
	Throttle throttle.Limiter

	// pausedUntil, by the boot clock, is the end of the pause that the upstream asked for.
	pausedUntil atomic.Int64
	// coldUntil, by the boot clock, is when the upstream is warm.
	coldUntil atomic.Int64
	// leaving is set once this incarnation announced that it leaves.
	leaving atomic.Bool
	// denied is set once another incarnation answered at the address.
	denied atomic.Bool
	// successor is what replaced these statistics; nil if nothing did.
	successor atomic.Pointer[successor]

	mu                     sync.Mutex
	load                   Load
	workTime               workTime
	placed                 placed
	failureScore           float64
	failureAt              time.Duration
	backoffUntil           time.Duration
	consecutiveUnreachable int
	// outsideRegionsUntil is the end of the backoff of requests that may pass through nodes of some regions only.
	outsideRegionsUntil time.Duration
	// unanswered holds the send times of requests for which nothing was received yet, oldest
	// first; receivedAt is when anything was last received from the upstream.
	unanswered []time.Duration
	receivedAt time.Duration
	// responseWait is the last observed wait for the start of a response, as of
	// responseStartedAt.
	responseWait, responseStartedAt time.Duration
}

// RecordFailure counts a request that the upstream failed: an error, a malformed response or
// silence.
func (s *Stats) RecordFailure(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.failureScore += failureWeight
}

// RecordSuccess counts a complete response.
func (s *Stats) RecordSuccess(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.failureScore *= successRetention
	s.consecutiveUnreachable = 0
	s.backoffUntil = 0
}

// RecordUnreachable counts a failed connection attempt or a request without any response. Each
// consecutive one doubles the backoff, from initialBackoff up to maxBackoff.
func (s *Stats) RecordUnreachable(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.failureScore += failureWeight
	backoff := min(maxBackoff, initialBackoff<<min(s.consecutiveUnreachable, 4))
	s.consecutiveUnreachable++
	s.backoffUntil = now + backoff
}

const (
	// initialBackoff is the backoff after one failed connection: long enough that the other
	// requests of that moment go elsewhere.
	initialBackoff = 500 * time.Millisecond
	// maxBackoff bounds the backoff, so that a recovered upstream is used again while callers
	// are still retrying.
	maxBackoff = 3 * time.Second
)

// InBackoff reports whether the upstream should not be used now.
func (s *Stats) InBackoff(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.backoffUntil
}

// RecordOutsideRegions records that neither this node nor one through which a request may pass reaches the upstream. Requests
// without limits to their regions aren't affected.
func (s *Stats) RecordOutsideRegions(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outsideRegionsUntil = now + outsideRegionsBackoff
}

// outsideRegionsBackoff is how long requests with limited regions avoid an upstream after one couldn't reach it: about as
// often as the path of a cut node is tested.
const outsideRegionsBackoff = time.Second

// IsOutsideRegions reports whether requests with limited regions should not use the upstream now.
func (s *Stats) IsOutsideRegions(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.outsideRegionsUntil
}

// FailureScore estimates how likely the next request is to fail; it is zero or more.
func (s *Stats) FailureScore(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	return s.failureScore
}

func (s *Stats) decay(now time.Duration) {
	if elapsed := now - s.failureAt; elapsed > 0 {
		s.failureScore *= math.Exp(-elapsed.Seconds() / failureWindow.Seconds())
	}
	s.failureAt = now
}
