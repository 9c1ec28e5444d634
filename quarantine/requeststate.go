package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// popularAnswers is how many answers to equal requests within answersLife show that many callers ask the same: upstreams that
	// crash together, by themselves, crash under several of them.
	popularAnswers = 8
	// minPopularInterval is how long after a crash a request that many callers ask must have been sent for its own crash to count: longer than
	// news takes, by which crashes of one moment seem to come one after the other.
	minPopularInterval = 500 * time.Millisecond
	// maxKeptCrashes bounds the crashes that are kept of one request: enough to count three one after the other among
	// others that came together.
	maxKeptCrashes = 8
)

// requestState is what a node knows of a request under which upstreams crashed. The mutex of requests guards it.
type requestState struct {
	// crashes came after the last answer.
	crashes []Crash
	// answeredAt is when an equal request was last answered completely, on any node; valid if answered is set.
	answeredAt time.Duration
	answered   bool
	// popular is set if many equal requests were answered before.
	popular bool
	// waiting are this node's sends that wait for their permit.
	waiting []*Permit
	// settled is set once the other nodes agree that the request must not be sent, and none of them is sending it.
	settled bool
	// changed is closed at the next change.
	changed chan struct{}
}

func newRequestState() *requestState { return &requestState{changed: make(chan struct{})} }

// add adds a crash; isNew is false if it was added before.
func (s *requestState) add(e Crash) (isNew bool) {
	if slices.ContainsFunc(s.crashes, e.isSame) {
		return false
	}
	if s.answered && e.At <= s.answeredAt {
		return true
	}
	s.crashes = append(s.crashes[max(0, len(s.crashes)-maxKeptCrashes+1):], e)
	s.notify()
	return true
}

// answer drops the crashes before an answer and reports whether there were any.
func (s *requestState) answer(at time.Duration) bool {
	if !s.answered || at > s.answeredAt {
		s.answeredAt, s.answered = at, true
	}
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(e Crash) bool { return e.At <= s.answeredAt })
	s.settled = false
	s.notify()
	return len(s.crashes) < before
}

// count returns how many crashes count: all or, under a request that many callers ask, those one after the other.
func (s *requestState) count() int {
	if !s.popular {
		return len(s.crashes)
	}
	ordered := slices.SortedFunc(slices.Values(s.crashes), func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	count := 0
	var last time.Duration
	for _, e := range ordered {
		if count == 0 || e.SentAt-last >= minPopularInterval {
			count, last = count+1, e.At
		}
	}
	return count
}

// isFree reports whether the request may be sent whatever other nodes do.
func (s *requestState) isFree() bool {
	return s.popular && s.count() < MaxRequestCrashes
}

// last returns the time of the latest crash.
func (s *requestState) last() time.Duration {
	last := s.crashes[0].At
	for _, e := range s.crashes {
		last = max(last, e.At)
	}
	return last
}

// notify wakes those that wait for a change.
func (s *requestState) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
